//! A fake worker on a thread of its own that responds to each request after a random delay and records the
//! attempts that reached it.
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

/// Settings of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// Longest time until a response.
    pub longest: Duration,
    /// Share of requests without a response.
    pub silent: f64,
}

/// An attempt as recorded by the worker that received it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRecord {
    pub id: u64,
    pub received_at: Instant,
    /// Time limit in the command, in milliseconds.
    pub time_limit_ms: u64,
    /// Time of the response or of the cancellation.
    pub ended_at: Option<Instant>,
}

/// Handle to a running worker.
pub struct WorkerThread {
    stop_requested: Arc<AtomicBool>,
    thread: JoinHandle<Vec<AttemptRecord>>,
}

impl WorkerThread {
    /// Starts a thread that serves the connections of `worker`.
    pub fn start(worker: Worker, manner: Manner, seed: u64) -> WorkerThread {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let stop = stop_requested.clone();
        let thread = thread::spawn(move || {
            let mut server = Server::new(worker, manner, seed);
            while !stop.load(Ordering::Relaxed) {
                server.run_once();
            }
            server.attempts
        });
        WorkerThread {
            stop_requested,
            thread,
        }
    }

    /// Stops the worker and returns the records of all attempts.
    pub fn stop(self) -> Vec<AttemptRecord> {
        self.stop_requested.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

/// The state of the worker thread.
struct Server {
    worker: Worker,
    manner: Manner,
    random: StdRng,
    attempts: Vec<AttemptRecord>,
    /// Connection of each response to be sent, by due time and index of the attempt.
    responses_due: BTreeMap<(Instant, usize), usize>,
}

impl Server {
    fn new(worker: Worker, manner: Manner, seed: u64) -> Server {
        Server {
            worker,
            manner,
            random: StdRng::seed_from_u64(seed),
            attempts: Vec::new(),
            responses_due: BTreeMap::new(),
        }
    }

    /// Handles the commands that have arrived and sends the responses that are due.
    fn run_once(&mut self) {
        let mut idle = true;
        while let Some((connection, code, id, fields, _)) = self.worker.try_next_command() {
            idle = false;
            match code {
                frame::EXECUTE => self.execute(connection, id, &fields),
                _ => self.cancel(id),
            }
        }
        self.send_due_responses();
        if idle {
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn execute(&mut self, connection: usize, id: u64, fields: &str) {
        let time_limit_ms = fields.split(',').find_map(|field| field.strip_prefix("max="));
        let attempt = self.attempts.len();
        self.attempts.push(AttemptRecord {
            id,
            received_at: Instant::now(),
            time_limit_ms: time_limit_ms.unwrap().parse().unwrap(),
            ended_at: None,
        });
        if !self.random.random_bool(self.manner.silent) {
            let delay = self.random.random_range(Duration::ZERO..=self.manner.longest);
            self.responses_due
                .insert((Instant::now() + delay, attempt), connection);
        }
    }

    fn cancel(&mut self, id: u64) {
        let open = self.attempts.iter_mut().filter(|attempt| attempt.id == id);
        open.for_each(|attempt| {
            attempt.ended_at.get_or_insert_with(Instant::now);
        });
    }

    fn send_due_responses(&mut self) {
        while let Some((&(at, attempt), &connection)) = self.responses_due.first_key_value()
            && at <= Instant::now()
        {
            self.responses_due.remove(&(at, attempt));
            let record = &mut self.attempts[attempt];
            if record.ended_at.is_none() {
                record.ended_at = Some(Instant::now());
                let id = record.id;
                // The scheduler may have closed the connection in the meantime.
                self.worker
                    .try_answer(connection, SUCCEEDED, id, &id.to_be_bytes());
            }
        }
    }
}
