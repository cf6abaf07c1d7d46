//! The open log: commits, and compaction to remove old segments.
use crate::error::LogError;
use crate::framing::{self, HEADER_LENGTH};
use crate::record::{InvocationRecord, LogRecord};
use crate::recovery::RecoveredLog;
use crate::segment::{self, Segment, SegmentNumber};
use crate::storage::LogStorage;
use std::collections::BTreeMap;
use std::io;

/// Default maximum bytes of a segment; the batch that would exceed it goes to a new segment.
const DEFAULT_MAX_SEGMENT_BYTES: u64 = 8 << 20;
/// Minimum number of segments for the compaction of the oldest one.
const MIN_SEGMENTS_TO_COMPACT: usize = 3;
/// Number of the first segment of a new log.
const FIRST_SEGMENT: SegmentNumber = 1;

/// State of an open invocation and the location of its latest snapshot.
struct OpenInvocation {
    /// Segment that contains the latest snapshot.
    segment: SegmentNumber,
    /// Current state, without the request.
    state: InvocationRecord,
    /// Bytes of the request in the snapshot.
    request_bytes: u64,
}

/// Size of an open log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSize {
    /// Number of invocations that have not completed.
    pub open_invocations: usize,
    /// Number of segments.
    pub segments: usize,
    /// Total bytes of all segments.
    pub bytes: u64,
}

/// An open write-ahead log.
pub struct Log<S: LogStorage> {
    storage: S,
    /// Open invocations by id.
    open_invocations: BTreeMap<u64, OpenInvocation>,
    segments: BTreeMap<SegmentNumber, Segment>,
    /// Total bytes of the requests of all open invocations.
    request_bytes: u64,
    /// Bytes beyond which a batch goes to a new segment.
    max_segment_bytes: u64,
    /// Whether a write failed and [`Log::resume`] has not succeeded since.
    failed: bool,
}

impl<S: LogStorage> Log<S> {
    /// Opens a log and truncates an incomplete write that a crash left at its end. Returns the log and the
    /// invocations that have not completed, in order of their ids. In an empty storage it creates a new log.
    ///
    /// # Errors
    /// The first fault that [`inspect`](crate::inspect) would report, or [`LogError::Io`] if an operation of
    /// the storage fails.
    pub fn open(storage: S) -> Result<(Log<S>, Vec<InvocationRecord>), LogError> {
        Log::open_with_max_segment_bytes(storage, DEFAULT_MAX_SEGMENT_BYTES)
    }

    /// Like [`Log::open`], with a maximum segment size of `max_segment_bytes`.
    ///
    /// # Errors
    /// The first fault that [`inspect`](crate::inspect) would report, or [`LogError::Io`] if an operation of
    /// the storage fails.
    pub fn open_with_max_segment_bytes(
        mut storage: S,
        max_segment_bytes: u64,
    ) -> Result<(Log<S>, Vec<InvocationRecord>), LogError> {
        let mut recovered = RecoveredLog::read(&storage)?;
        if !recovered.inspection.faults.is_empty() {
            return Err(recovered.inspection.faults.swap_remove(0));
        }
        if recovered.inspection.incomplete_bytes > 0
            && let Some((last, segment)) = recovered.segments.iter().next_back()
        {
            storage.truncate(&segment::file_name(*last), segment.length)?;
        }
        let mut log = Log {
            storage,
            open_invocations: BTreeMap::new(),
            segments: std::mem::take(&mut recovered.segments),
            request_bytes: 0,
            max_segment_bytes,
            failed: false,
        };
        for invocation in recovered.invocations.values() {
            log.insert_invocation(invocation.segment, &invocation.record);
        }
        log.ensure_writable_segment()?;
        Ok((log, recovered.into_open_invocations()))
    }

    /// Returns the current size of the log.
    pub fn size(&self) -> LogSize {
        LogSize {
            open_invocations: self.open_invocations.len(),
            segments: self.segments.len(),
            bytes: self.total_bytes(),
        }
    }

    /// Appends a batch and makes it durable, then compacts the log if necessary.
    ///
    /// # Errors
    /// [`LogError::BatchTooLarge`] if the batch does not fit into a frame, or [`LogError::Io`] if an
    /// operation of the storage fails. After any error the batch may be durable or lost, and each further
    /// commit returns [`LogError::EarlierWriteFailed`] until [`Log::resume`] succeeds.
    pub fn commit(&mut self, records: Vec<LogRecord>) -> Result<(), LogError> {
        if self.failed {
            return Err(LogError::EarlierWriteFailed);
        }
        let result = self.append(records).and_then(|()| self.compact());
        self.failed = result.is_err();
        result
    }

    /// Makes the log accept batches again after a failed commit: removes the remains of failed writes,
    /// verifies the last segment up to the last acknowledged batch, and begins a new segment. The caller then
    /// commits the failed batch again; each of its records may be applied twice.
    ///
    /// # Errors
    /// [`LogError::Corrupt`] if an acknowledged batch cannot be read back, or [`LogError::Io`] if an
    /// operation of the storage fails. After any error the log still refuses batches, and the caller may try
    /// again.
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

    /// Removes the files of segments after `last`, left by an attempt to begin a segment that failed.
    fn remove_segments_after(&mut self, last: SegmentNumber) -> Result<(), LogError> {
        let names = self.storage.list()?;
        let is_after_last =
            |name: &&String| segment::parse_file_name(name).is_some_and(|number| number > last);
        let stray: Vec<&String> = names.iter().filter(is_after_last).collect();
        for name in &stray {
            self.storage.remove(name)?;
        }
        if !stray.is_empty() {
            self.storage.sync_directory()?;
        }
        Ok(())
    }

    /// Reads a segment and checks that it consists of valid frames and has exactly this length.
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

    fn total_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.length).sum()
    }

    /// Creates the first segment of a new log, or writes the header of the last segment again if a crash
    /// truncated it.
    fn ensure_writable_segment(&mut self) -> Result<(), LogError> {
        match self.segments.iter().next_back() {
            Some((_, segment)) if segment.length >= HEADER_LENGTH as u64 => Ok(()),
            Some((last, _)) => self.begin_segment(*last),
            None => self.begin_segment(FIRST_SEGMENT),
        }
    }

    /// Writes the header of a segment and makes the file durable.
    fn begin_segment(&mut self, number: SegmentNumber) -> Result<(), LogError> {
        let name = segment::file_name(number);
        self.storage.append(&name, &framing::encode_header())?;
        self.storage.sync(&name)?;
        self.storage.sync_directory()?;
        let segment = Segment::with_length(HEADER_LENGTH as u64);
        self.segments.insert(number, segment);
        Ok(())
    }

    /// Writes a batch durably, then applies it to the state in memory.
    fn append(&mut self, records: Vec<LogRecord>) -> Result<(), LogError> {
        let frame = framing::encode_frame(&records).ok_or(LogError::BatchTooLarge(records.len()))?;
        let number = self.segment_for_frame(frame.len() as u64)?;
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

    /// Returns the last segment, or begins a new one if the frame would make the last one exceed the maximum
    /// size.
    fn segment_for_frame(&mut self, frame_bytes: u64) -> Result<SegmentNumber, LogError> {
        let (last, length) = match self.segments.iter().next_back() {
            Some((last, segment)) => (*last, segment.length),
            None => (FIRST_SEGMENT, 0),
        };
        if length <= HEADER_LENGTH as u64 || length + frame_bytes <= self.max_segment_bytes {
            return Ok(last);
        }
        self.begin_segment(last + 1)?;
        Ok(last + 1)
    }

    /// Applies a record of this segment to the state in memory.
    fn apply(&mut self, segment: SegmentNumber, record: LogRecord) {
        match record {
            LogRecord::Snapshot(invocation) => self.insert_invocation(segment, &invocation),
            LogRecord::Completed { id } => self.remove_invocation(id),
            LogRecord::AttemptStarted { id, .. } | LogRecord::RetryScheduled { id, .. } => {
                if let Some(invocation) = self.open_invocations.get_mut(&id) {
                    invocation.state.apply(&record);
                }
            }
        }
    }

    fn insert_invocation(&mut self, number: SegmentNumber, record: &InvocationRecord) {
        self.remove_invocation(record.id);
        let request_bytes = record.request.len() as u64;
        self.request_bytes += request_bytes;
        if let Some(segment) = self.segments.get_mut(&number) {
            segment.open_invocations += 1;
        }
        let invocation = OpenInvocation {
            segment: number,
            state: record.without_request(),
            request_bytes,
        };
        self.open_invocations.insert(record.id, invocation);
    }

    fn remove_invocation(&mut self, id: u64) {
        let Some(invocation) = self.open_invocations.remove(&id) else {
            return;
        };
        self.request_bytes -= invocation.request_bytes;
        if let Some(segment) = self.segments.get_mut(&invocation.segment) {
            segment.open_invocations -= 1;
        }
    }

    /// Removes the oldest segments without open invocations. If less than half of the log is still needed, it
    /// also copies the open invocations of the oldest remaining segment to the end of the log and removes
    /// that segment.
    fn compact(&mut self) -> Result<(), LogError> {
        self.remove_obsolete_segments()?;
        let mostly_obsolete =
            self.request_bytes * 2 < self.total_bytes().saturating_sub(self.max_segment_bytes);
        if self.segments.len() < MIN_SEGMENTS_TO_COMPACT || !mostly_obsolete {
            return Ok(());
        }
        let Some(oldest) = self.segments.keys().next().copied() else {
            return Ok(());
        };
        let snapshots = self.current_snapshots(oldest)?;
        if !snapshots.is_empty() {
            self.append(snapshots)?;
        }
        self.remove_obsolete_segments()
    }

    /// Returns snapshots, in order of their ids and in their current state, of the open invocations whose
    /// latest snapshot is in this segment.
    fn current_snapshots(&self, number: SegmentNumber) -> Result<Vec<LogRecord>, LogError> {
        let bytes = self.storage.read(&segment::file_name(number))?;
        let mut snapshots = BTreeMap::new();
        let mut offset = HEADER_LENGTH;
        while let Some((records, next)) = framing::decode_frame(&bytes, offset) {
            offset = next;
            for record in records {
                if let LogRecord::Snapshot(stored) = record
                    && let Some(invocation) = self.open_invocations.get(&stored.id)
                    && invocation.segment == number
                {
                    let current = InvocationRecord {
                        request: stored.request,
                        ..invocation.state.clone()
                    };
                    snapshots.insert(current.id, LogRecord::Snapshot(current));
                }
            }
        }
        Ok(snapshots.into_values().collect())
    }

    /// Removes segments without open invocations, starting at the oldest. It stops at the first segment with
    /// open invocations, because later segments may contain the records that completed other invocations of
    /// that segment.
    fn remove_obsolete_segments(&mut self) -> Result<(), LogError> {
        let mut removed = false;
        while self.segments.len() > 1
            && let Some((&oldest, segment)) = self.segments.iter().next()
            && segment.open_invocations == 0
        {
            match self.storage.remove(&segment::file_name(oldest)) {
                // An earlier removal may have succeeded although the storage reported an error.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                removal => removal?,
            }
            self.segments.remove(&oldest);
            removed = true;
        }
        if removed {
            self.storage.sync_directory()?;
        }
        Ok(())
    }
}
