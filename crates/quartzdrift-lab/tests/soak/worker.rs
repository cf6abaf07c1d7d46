//! A worker that answers by itself, each request after a drawn delay, and records what reached it and when.
use quartzdrift_lab::cluster_harness::SUCCEEDED;
use quartzdrift_lab::platform::Worker;
use quartzdrift_platform::frame;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How a worker treats its requests.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// Longest time until an answer.
    pub longest: Duration,
    /// Share of requests that get no answer.
    pub silent: f64,
}

/// An attempt as a worker saw it.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub id: u64,
    pub came: Instant,
    /// The time that it was told, in milliseconds.
    pub max: u64,
    /// When it was answered or given up.
    pub over: Option<Instant>,
}

/// A worker at work; its record is taken with [`WorkerThread::stop`].
pub struct WorkerThread {
    over: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Attempt>>,
}

impl WorkerThread {
    pub fn start(worker: Worker, manner: Manner, seed: u64) -> WorkerThread {
        let over = Arc::new(AtomicBool::new(false));
        let stop = over.clone();
        let thread = thread::spawn(move || {
            let mut serving = Serving::new(worker, manner, seed);
            while !stop.load(Ordering::Relaxed) {
                serving.turn();
            }
            serving.attempts
        });
        WorkerThread { over, thread }
    }

    pub fn stop(self) -> Vec<Attempt> {
        self.over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

struct Serving {
    worker: Worker,
    manner: Manner,
    random: StdRng,
    attempts: Vec<Attempt>,
    /// Answers that are due: connection and index of the attempt.
    due: BTreeMap<(Instant, usize), usize>,
}

impl Serving {
    fn new(worker: Worker, manner: Manner, seed: u64) -> Serving {
        Serving {
            worker,
            manner,
            random: StdRng::seed_from_u64(seed),
            attempts: Vec::new(),
            due: BTreeMap::new(),
        }
    }

    fn turn(&mut self) {
        let mut idle = true;
        while let Some((connection, code, id, fields, _)) = self.worker.try_next_command() {
            idle = false;
            match code {
                frame::EXECUTE => self.execute(connection, id, &fields),
                _ => self.give_up(id),
            }
        }
        self.answer_due();
        if idle {
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn execute(&mut self, connection: usize, id: u64, fields: &str) {
        let max = fields.split(',').find_map(|field| field.strip_prefix("max="));
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            id,
            came: Instant::now(),
            max: max.unwrap().parse().unwrap(),
            over: None,
        });
        if !self.random.random_bool(self.manner.silent) {
            let delay = self.random.random_range(Duration::ZERO..=self.manner.longest);
            self.due.insert((Instant::now() + delay, attempt), connection);
        }
    }

    fn give_up(&mut self, id: u64) {
        let open = self.attempts.iter_mut().filter(|attempt| attempt.id == id);
        open.for_each(|attempt| {
            attempt.over.get_or_insert_with(Instant::now);
        });
    }

    fn answer_due(&mut self) {
        while let Some((&(at, attempt), &connection)) = self.due.first_key_value()
            && at <= Instant::now()
        {
            self.due.remove(&(at, attempt));
            let answered = &mut self.attempts[attempt];
            if answered.over.is_none() {
                answered.over = Some(Instant::now());
                let id = answered.id;
                // Its connection may have ended meanwhile.
                self.worker
                    .try_answer(connection, SUCCEEDED, id, &id.to_be_bytes());
            }
        }
    }
}
