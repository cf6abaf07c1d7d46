//! The open log: commits, and compaction of segments that are no longer needed.
use crate::error::LogError;
use crate::framing::{self, HEADER_LENGTH};
use crate::record::{InvocationRecord, LogRecord};
use crate::recovery::Recovery;
use crate::segment::{self, Segment, SegmentNumber};
use crate::storage::LogStorage;
use std::collections::BTreeMap;
use std::io;

/// Bytes beyond which a segment takes no further batch, unless [`Log::open_with`] says otherwise.
const MAX_SEGMENT: u64 = 8 << 20;
/// Fewest segments at which the oldest is compacted, where little of the log is still needed.
const MIN_SEGMENTS: usize = 3;
/// Number of the first segment of a new log.
const FIRST_SEGMENT: SegmentNumber = 1;

/// An open invocation: where its latest snapshot lies, and its state without the request.
struct Entry {
    segment: SegmentNumber,
    state: InvocationRecord,
    request_bytes: u64,
}

/// How much an open log holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSize {
    /// Invocations that have not completed.
    pub open_invocations: usize,
    /// Number of segments.
    pub segments: usize,
    /// Bytes of all segments.
    pub bytes: u64,
}

/// An open write-ahead log.
pub struct Log<S: LogStorage> {
    storage: S,
    entries: BTreeMap<u64, Entry>,
    segments: BTreeMap<SegmentNumber, Segment>,
    /// Bytes of the requests of all open invocations.
    request_bytes: u64,
    max_segment: u64,
    failed: bool,
}

impl<S: LogStorage> Log<S> {
    /// Opens a log, drops what a crash left incomplete at its end, and returns the invocations that have not completed, by
    /// id. An empty storage becomes a new log.
    ///
    /// # Errors
    /// The first fault that [`inspect`](crate::inspect) would report, or an error of the storage.
    pub fn open(storage: S) -> Result<(Log<S>, Vec<InvocationRecord>), LogError> {
        Log::open_with(storage, MAX_SEGMENT)
    }

    /// Like [`Log::open`], with a new segment after `max_segment` bytes.
    ///
    /// # Errors
    /// Those of [`Log::open`].
    pub fn open_with(mut storage: S, max_segment: u64) -> Result<(Log<S>, Vec<InvocationRecord>), LogError> {
        let mut recovery = Recovery::read(&storage)?;
        if !recovery.inspection.faults.is_empty() {
            return Err(recovery.inspection.faults.swap_remove(0));
        }
        if recovery.inspection.incomplete_bytes > 0
            && let Some((last, segment)) = recovery.segments.iter().next_back()
        {
            storage.truncate(&segment::file_name(*last), segment.length)?;
        }
        let mut log = Log {
            storage,
            entries: BTreeMap::new(),
            segments: std::mem::take(&mut recovery.segments),
            request_bytes: 0,
            max_segment,
            failed: false,
        };
        for invocation in recovery.invocations.values() {
            log.insert_entry(invocation.segment, &invocation.record);
        }
        log.ensure_writable_segment()?;
        Ok((log, recovery.open_invocations()))
    }

    /// How much the log holds.
    pub fn size(&self) -> LogSize {
        LogSize {
            open_invocations: self.entries.len(),
            segments: self.segments.len(),
            bytes: self.bytes(),
        }
    }

    /// Appends a batch, which is durable once this has returned, and compacts the log where that is due.
    ///
    /// # Errors
    /// After any error nothing of the batch is promised to be durable or lost, and each further commit is
    /// [`LogError::Failed`] until [`Log::resume`] has succeeded. [`LogError::TooLong`] where the batch does not fit a frame, else
    /// those of the storage.
    pub fn commit(&mut self, records: Vec<LogRecord>) -> Result<(), LogError> {
        if self.failed {
            return Err(LogError::Failed);
        }
        let result = self.append(records).and_then(|()| self.compact());
        self.failed = result.is_err();
        result
    }

    /// Makes a log that has failed take batches again: removes what failed writes left behind, makes sure that all batches
    /// before them are still there, and begins a new segment. The batch whose commit failed is to be committed anew; each of
    /// its records may be applied twice.
    ///
    /// # Errors
    /// Those of the storage, and [`LogError::Corrupt`] where an earlier batch is gone. The log stays failed, and this may be
    /// tried again.
    pub fn resume(&mut self) -> Result<(), LogError> {
        if !self.failed {
            return Ok(());
        }
        self.storage.close_files();
        let Some((&last, segment)) = self.segments.iter().next_back() else {
            self.failed = false;
            return Ok(());
        };
        let length = segment.length;
        self.remove_segments_after(last)?;
        self.storage.truncate(&segment::file_name(last), length)?;
        self.verify_segment(last, length)?;
        self.begin_segment(last + 1)?;
        self.failed = false;
        Ok(())
    }

    /// Removes the segments that were begun and never became part of the log.
    fn remove_segments_after(&mut self, last: SegmentNumber) -> Result<(), LogError> {
        let names = self.storage.list()?;
        let begun = |name: &&String| segment::number_of_file(name).is_some_and(|number| number > last);
        let stray: Vec<&String> = names.iter().filter(begun).collect();
        for name in &stray {
            self.storage.remove(name)?;
        }
        if !stray.is_empty() {
            self.storage.sync_names()?;
        }
        Ok(())
    }

    /// Reads a segment back: all its frames must be whole, up to its length.
    fn verify_segment(&self, number: SegmentNumber, length: u64) -> Result<(), LogError> {
        let name = segment::file_name(number);
        let bytes = self.storage.read(&name)?;
        let mut offset = HEADER_LENGTH;
        while let Some((_, next)) = framing::decode_frame(&bytes, offset) {
            offset = next;
        }
        if offset as u64 == length && bytes.len() as u64 == length {
            Ok(())
        } else {
            Err(LogError::Corrupt(name, offset as u64))
        }
    }

    fn bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.length).sum()
    }

    /// Gives the last segment its header, and a new log its first segment.
    fn ensure_writable_segment(&mut self) -> Result<(), LogError> {
        match self.segments.iter().next_back() {
            Some((_, segment)) if segment.length >= HEADER_LENGTH as u64 => Ok(()),
            Some((last, _)) => self.begin_segment(*last),
            None => self.begin_segment(FIRST_SEGMENT),
        }
    }

    fn begin_segment(&mut self, number: SegmentNumber) -> Result<(), LogError> {
        let name = segment::file_name(number);
        self.storage.append(&name, &framing::header())?;
        self.storage.sync(&name)?;
        self.storage.sync_names()?;
        let segment = Segment::with_length(HEADER_LENGTH as u64);
        self.segments.insert(number, segment);
        Ok(())
    }

    fn append(&mut self, records: Vec<LogRecord>) -> Result<(), LogError> {
        let frame = framing::encode_frame(&records).ok_or(LogError::TooLong)?;
        let number = self.segment_with_room(frame.len() as u64)?;
        let name = segment::file_name(number);
        self.storage.append(&name, &frame)?;
        self.storage.sync(&name)?;
        if let Some(segment) = self.segments.get_mut(&number) {
            segment.length += frame.len() as u64;
        }
        for record in records {
            self.apply(number, record);
        }
        Ok(())
    }

    /// The segment to append to: the last one, or a new one where the frame would make that too long.
    fn segment_with_room(&mut self, frame_bytes: u64) -> Result<SegmentNumber, LogError> {
        let (last, length) = match self.segments.iter().next_back() {
            Some((last, segment)) => (*last, segment.length),
            None => (FIRST_SEGMENT, 0),
        };
        if length <= HEADER_LENGTH as u64 || length + frame_bytes <= self.max_segment {
            return Ok(last);
        }
        self.begin_segment(last + 1)?;
        Ok(last + 1)
    }

    fn apply(&mut self, segment: SegmentNumber, record: LogRecord) {
        match record {
            LogRecord::Snapshot(invocation) => self.insert_entry(segment, &invocation),
            LogRecord::Completed { id } => self.remove_entry(id),
            LogRecord::AttemptStarted { id, .. } | LogRecord::RetryScheduled { id, .. } => {
                if let Some(entry) = self.entries.get_mut(&id) {
                    entry.state.apply(&record);
                }
            }
        }
    }

    fn insert_entry(&mut self, number: SegmentNumber, invocation: &InvocationRecord) {
        self.remove_entry(invocation.id);
        let request_bytes = invocation.request.len() as u64;
        self.request_bytes += request_bytes;
        if let Some(segment) = self.segments.get_mut(&number) {
            segment.open_invocations += 1;
        }
        let entry = Entry {
            segment: number,
            state: invocation.without_request(),
            request_bytes,
        };
        self.entries.insert(invocation.id, entry);
    }

    fn remove_entry(&mut self, id: u64) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        self.request_bytes -= entry.request_bytes;
        if let Some(segment) = self.segments.get_mut(&entry.segment) {
            segment.open_invocations -= 1;
        }
    }

    /// Removes the oldest segments that hold no open invocation, and moves the invocations out of one more where less than
    /// half of the log is still needed.
    fn compact(&mut self) -> Result<(), LogError> {
        self.remove_unneeded_segments()?;
        let mostly_unneeded = self.request_bytes * 2 < self.bytes().saturating_sub(self.max_segment);
        if self.segments.len() < MIN_SEGMENTS || !mostly_unneeded {
            return Ok(());
        }
        let Some(oldest) = self.segments.keys().next().copied() else {
            return Ok(());
        };
        let snapshots = self.current_snapshots(oldest)?;
        if !snapshots.is_empty() {
            self.append(snapshots)?;
        }
        self.remove_unneeded_segments()
    }

    /// The invocations whose latest snapshot lies in this segment, with their state of now, by id.
    fn current_snapshots(&self, number: SegmentNumber) -> Result<Vec<LogRecord>, LogError> {
        let bytes = self.storage.read(&segment::file_name(number))?;
        let mut snapshots = BTreeMap::new();
        let mut offset = HEADER_LENGTH;
        while let Some((records, next)) = framing::decode_frame(&bytes, offset) {
            offset = next;
            for record in records {
                if let LogRecord::Snapshot(invocation) = record
                    && let Some(entry) = self.entries.get(&invocation.id)
                    && entry.segment == number
                {
                    let current = InvocationRecord {
                        request: invocation.request,
                        ..entry.state.clone()
                    };
                    snapshots.insert(current.id, LogRecord::Snapshot(current));
                }
            }
        }
        Ok(snapshots.into_values().collect())
    }

    /// Removes segments without open invocations from the oldest on. A later one stays while an older one is needed, since
    /// it may hold the records that complete the older one's invocations.
    fn remove_unneeded_segments(&mut self) -> Result<(), LogError> {
        let mut removed = false;
        while self.segments.len() > 1
            && let Some((&oldest, segment)) = self.segments.iter().next()
            && segment.open_invocations == 0
        {
            match self.storage.remove(&segment::file_name(oldest)) {
                // A removal that was reported as failed may have been carried out.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                removal => removal?,
            }
            self.segments.remove(&oldest);
            removed = true;
        }
        if removed {
            self.storage.sync_names()?;
        }
        Ok(())
    }
}
