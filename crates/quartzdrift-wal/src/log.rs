//! Segments, recovery, and what is no longer needed.
use crate::files::Files;
use crate::frame::{self, HEAD, Head};
use crate::{Change, Live};
use std::collections::BTreeMap;
use std::fmt;
use std::io;

/// A segment is closed once it is longer.
const MAX_SEGMENT: u64 = 8 << 20;
/// Segments from which on the oldest is emptied, where most of all is no longer needed.
const MIN_SEGMENTS: usize = 3;

/// Why a store cannot be used as it is.
#[derive(Debug)]
pub enum Unusable {
    Io(io::Error),
    /// Not a segment of ours.
    Foreign(String),
    /// Written by another release.
    Version(String, u32),
    /// Damaged in the midst: file and place.
    Corrupt(String, u64),
    /// An earlier write failed; what is on the disk is not known.
    Failed,
    /// A batch that is too long for a frame.
    TooLong,
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Unusable::Io(e) => e.fmt(f),
            Unusable::Foreign(name) => write!(f, "{name} is no segment of deferred jobs"),
            Unusable::Version(name, version) => {
                write!(
                    f,
                    "{name} is of version {version}, and {} is read here",
                    frame::VERSION
                )
            }
            Unusable::Corrupt(name, at) => {
                write!(
                    f,
                    "{name} is damaged at byte {at}; `quartzdrift store repair` keeps what can be read"
                )
            }
            Unusable::Failed => f.write_str("an earlier write failed"),
            Unusable::TooLong => f.write_str("a batch is too long"),
        }
    }
}

impl std::error::Error for Unusable {}

impl From<io::Error> for Unusable {
    fn from(e: io::Error) -> Unusable {
        Unusable::Io(e)
    }
}

fn name(segment: u64) -> String {
    format!("deferred-{segment:012}.log")
}

fn number(name: &str) -> Option<u64> {
    name.strip_prefix("deferred-")?.strip_suffix(".log")?.parse().ok()
}

/// A request's place, and all of it but itself.
struct Entry {
    segment: u64,
    state: Live,
    size: u64,
}

#[derive(Default)]
struct Segment {
    length: u64,
    live: usize,
}

pub struct Log<F: Files> {
    files: F,
    entries: BTreeMap<u64, Entry>,
    segments: BTreeMap<u64, Segment>,
    live_bytes: u64,
    segment_most: u64,
    failed: bool,
}

/// What a look at a store found.
#[derive(Debug, Default)]
pub struct Looked {
    pub segments: usize,
    pub bytes: u64,
    pub live: Vec<Live>,
    /// Bytes at the end that a crash cut short: never told durable.
    pub torn: u64,
    pub faults: Vec<Unusable>,
}

/// Segments by number, and requests by id with the segment that holds each.
type Contents = (BTreeMap<u64, Segment>, BTreeMap<u64, (u64, Live)>, Looked);

/// Reads all segments; what follows damage in a segment is passed over and told.
fn read<F: Files>(files: &F) -> Result<Contents, io::Error> {
    let mut numbers: Vec<u64> = files.list()?.iter().filter_map(|name| number(name)).collect();
    numbers.sort_unstable();
    let mut looked = Looked {
        segments: numbers.len(),
        ..Looked::default()
    };
    let (mut segments, mut requests) = (BTreeMap::new(), BTreeMap::<u64, (u64, Live)>::new());
    for (n, segment) in numbers.iter().enumerate() {
        let last = n + 1 == numbers.len();
        let bytes = files.read(&name(*segment))?;
        looked.bytes += bytes.len() as u64;
        let mut at = HEAD;
        match frame::read_head(&bytes) {
            Head::Good => {}
            Head::Short if last => {
                looked.torn += bytes.len() as u64;
                segments.insert(*segment, Segment::default());
                continue;
            }
            Head::Short => {
                looked.faults.push(Unusable::Corrupt(name(*segment), 0));
                continue;
            }
            Head::Foreign => {
                looked.faults.push(Unusable::Foreign(name(*segment)));
                continue;
            }
            Head::Version(version) => {
                looked.faults.push(Unusable::Version(name(*segment), version));
                continue;
            }
        }
        while at < bytes.len() {
            let Some((changes, next)) = frame::read(&bytes, at) else {
                // Only the last frame of all may be cut short: each lasts before the next is written.
                if !last || frame::goes_on(&bytes, at) {
                    looked.faults.push(Unusable::Corrupt(name(*segment), at as u64));
                } else {
                    looked.torn += (bytes.len() - at) as u64;
                }
                break;
            };
            at = next;
            for change in changes {
                apply(&mut requests, *segment, change);
            }
        }
        segments.insert(
            *segment,
            Segment {
                length: at as u64,
                live: 0,
            },
        );
    }
    Ok((segments, requests, looked))
}

fn apply(requests: &mut BTreeMap<u64, (u64, Live)>, segment: u64, change: Change) {
    match change {
        Change::Kept(live) => drop(requests.insert(live.id, (segment, live))),
        Change::Over { id } => drop(requests.remove(&id)),
        Change::Out { id, .. } | Change::Waits { id, .. } => {
            if let Some((_, live)) = requests.get_mut(&id) {
                live.change(&change);
            }
        }
    }
}

/// The requests themselves, by id.
fn live(requests: BTreeMap<u64, (u64, Live)>) -> Vec<Live> {
    requests.into_values().map(|(_, live)| live).collect()
}

/// Looks at a store without changing it.
pub fn look<F: Files>(files: &F) -> Result<Looked, io::Error> {
    read(files).map(|(_, requests, looked)| Looked {
        live: live(requests),
        ..looked
    })
}

/// Writes what can be read into one new segment and removes the others; segments of other releases stay, and nothing is done.
pub fn repair<F: Files>(mut files: F) -> Result<Looked, Unusable> {
    let (_, requests, mut looked) = read(&files)?;
    if let Some(at) = looked
        .faults
        .iter()
        .position(|fault| matches!(fault, Unusable::Version(..)))
    {
        return Err(looked.faults.swap_remove(at));
    }
    looked.live = live(requests);
    let old: Vec<String> = files
        .list()?
        .into_iter()
        .filter(|name| number(name).is_some())
        .collect();
    let new = old.iter().filter_map(|name| number(name)).max().unwrap_or(0) + 1;
    files.append(&name(new), &frame::head())?;
    for live in &looked.live {
        let bytes = frame::write(&[Change::Kept(live.clone())]).ok_or(Unusable::TooLong)?;
        files.append(&name(new), &bytes)?;
    }
    files.sync(&name(new))?;
    files.sync_names()?;
    for name in old {
        files.remove(&name)?;
    }
    files.sync_names()?;
    Ok(looked)
}

impl<F: Files> Log<F> {
    /// Reads a store and cuts off what a crash left half written; gives the requests that are not over, by id.
    pub fn open(files: F) -> Result<(Log<F>, Vec<Live>), Unusable> {
        Log::open_with(files, MAX_SEGMENT)
    }

    /// The same with segments of another length.
    pub fn open_with(mut files: F, segment_most: u64) -> Result<(Log<F>, Vec<Live>), Unusable> {
        let (segments, requests, mut looked) = read(&files)?;
        if !looked.faults.is_empty() {
            return Err(looked.faults.swap_remove(0));
        }
        if looked.torn > 0
            && let Some((last, segment)) = segments.iter().next_back()
        {
            files.truncate(&name(*last), segment.length)?;
        }
        let entries = BTreeMap::new();
        let mut log = Log {
            files,
            entries,
            segments,
            live_bytes: 0,
            segment_most,
            failed: false,
        };
        requests
            .values()
            .for_each(|(segment, live)| log.keep(*segment, live));
        log.first()?;
        Ok((log, live(requests)))
    }

    /// The last segment has its head.
    fn first(&mut self) -> Result<(), Unusable> {
        match self.segments.iter().next_back() {
            Some((_, segment)) if segment.length >= HEAD as u64 => Ok(()),
            Some((last, _)) => self.begin(*last),
            None => self.begin(1),
        }
    }

    fn begin(&mut self, segment: u64) -> Result<(), Unusable> {
        self.files.append(&name(segment), &frame::head())?;
        self.files.sync(&name(segment))?;
        self.files.sync_names()?;
        self.segments.insert(
            segment,
            Segment {
                length: HEAD as u64,
                live: 0,
            },
        );
        Ok(())
    }

    /// Writes a batch; once this has returned it lasts. `Err`: nothing of it is promised, and the log takes no more.
    pub fn commit(&mut self, changes: Vec<Change>) -> Result<(), Unusable> {
        if self.failed {
            return Err(Unusable::Failed);
        }
        let done = self.write(changes).and_then(|()| self.tidy());
        self.failed = done.is_err();
        done
    }

    fn write(&mut self, changes: Vec<Change>) -> Result<(), Unusable> {
        let bytes = frame::write(&changes).ok_or(Unusable::TooLong)?;
        let mut last = self.segments.keys().next_back().copied().unwrap_or(1);
        let length = self.segments.get(&last).map_or(0, |of| of.length);
        if length > HEAD as u64 && length + bytes.len() as u64 > self.segment_most {
            last += 1;
            self.begin(last)?;
        }
        self.files.append(&name(last), &bytes)?;
        self.files.sync(&name(last))?;
        if let Some(of) = self.segments.get_mut(&last) {
            of.length += bytes.len() as u64;
        }
        for change in changes {
            self.note(last, change);
        }
        Ok(())
    }

    fn drop_entry(&mut self, id: u64) {
        if let Some(entry) = self.entries.remove(&id) {
            self.live_bytes -= entry.size;
            if let Some(segment) = self.segments.get_mut(&entry.segment) {
                segment.live -= 1;
            }
        }
    }

    fn note(&mut self, segment: u64, change: Change) {
        match change {
            Change::Kept(live) => self.keep(segment, &live),
            Change::Over { id } => self.drop_entry(id),
            Change::Out { id, .. } | Change::Waits { id, .. } => {
                if let Some(entry) = self.entries.get_mut(&id) {
                    entry.state.change(&change);
                }
            }
        }
    }

    /// Notes where a request is, and all of it but itself.
    fn keep(&mut self, segment: u64, live: &Live) {
        self.drop_entry(live.id);
        let size = live.request.len() as u64;
        self.live_bytes += size;
        if let Some(of) = self.segments.get_mut(&segment) {
            of.live += 1;
        }
        self.entries.insert(
            live.id,
            Entry {
                segment,
                state: live.without_request(),
                size,
            },
        );
    }

    /// Removes the oldest segments that hold no request any more, and empties one more where most of all is of no use.
    fn tidy(&mut self) -> Result<(), Unusable> {
        self.remove_empty()?;
        let bytes: u64 = self.segments.values().map(|of| of.length).sum();
        let useless = self.live_bytes * 2 < bytes.saturating_sub(self.segment_most);
        if self.segments.len() < MIN_SEGMENTS || !useless {
            return Ok(());
        }
        let Some(oldest) = self.segments.keys().next().copied() else {
            return Ok(());
        };
        let bytes = self.files.read(&name(oldest))?;
        let (mut at, mut moved) = (HEAD, BTreeMap::new());
        while let Some((changes, next)) = frame::read(&bytes, at) {
            at = next;
            for change in changes {
                if let Change::Kept(live) = change
                    && let Some(entry) = self.entries.get(&live.id).filter(|entry| entry.segment == oldest)
                {
                    moved.insert(
                        live.id,
                        Live {
                            request: live.request,
                            ..entry.state.clone()
                        },
                    );
                }
            }
        }
        if !moved.is_empty() {
            self.write(moved.into_values().map(Change::Kept).collect())?;
        }
        self.remove_empty()
    }

    fn remove_empty(&mut self) -> Result<(), Unusable> {
        let mut removed = false;
        while self.segments.len() > 1
            && let Some((oldest, _)) = self.segments.iter().next().filter(|(_, of)| of.live == 0)
        {
            let oldest = *oldest;
            self.files.remove(&name(oldest))?;
            self.segments.remove(&oldest);
            removed = true;
        }
        if removed {
            Ok(self.files.sync_names()?)
        } else {
            Ok(())
        }
    }

    /// Requests that are not over, segments, and bytes in them.
    pub fn sizes(&self) -> (usize, usize, u64) {
        (
            self.entries.len(),
            self.segments.len(),
            self.segments.values().map(|of| of.length).sum(),
        )
    }
}
