//! Reading a log: recovery at startup, read-only inspection, and repair of a damaged log.
//!
//! Only the last frame of the log may be incomplete, because each batch is durable before the next one is
//! written. An incomplete frame at the end was never acknowledged and is dropped. Any other unreadable data
//! is a fault.
use crate::error::LogError;
use crate::framing::{self, HEADER_LENGTH, HeaderStatus};
use crate::record::{InvocationRecord, LogRecord};
use crate::segment::{self, Segment, SegmentNumber};
use crate::storage::LogStorage;
use std::collections::BTreeMap;
use std::io;

/// Content, size and faults of a log.
#[derive(Debug, Default)]
pub struct Inspection {
    /// Number of segment files, including unreadable ones.
    pub segments: usize,
    /// Total bytes of all segment files.
    pub bytes: u64,
    /// Invocations that have not completed, in order of their ids.
    pub open_invocations: Vec<InvocationRecord>,
    /// Bytes of an incomplete write at the end of the log, left by a crash. That write was never
    /// acknowledged.
    pub incomplete_bytes: u64,
    /// Segments that are damaged or cannot be read by this release. The records after the damage in a segment
    /// are left out of `open_invocations`.
    pub faults: Vec<LogError>,
}

/// An open invocation and the segment that contains its latest snapshot.
pub(crate) struct RecoveredInvocation {
    pub(crate) segment: SegmentNumber,
    pub(crate) record: InvocationRecord,
}

/// State of a log after the replay of all its segments.
#[derive(Default)]
pub(crate) struct RecoveredLog {
    pub(crate) segments: BTreeMap<SegmentNumber, Segment>,
    /// Open invocations by id.
    pub(crate) invocations: BTreeMap<u64, RecoveredInvocation>,
    /// Sizes and faults only: `open_invocations` is left empty.
    pub(crate) inspection: Inspection,
}

impl RecoveredLog {
    /// Replays all segments in order.
    pub(crate) fn read<S: LogStorage>(storage: &S) -> io::Result<RecoveredLog> {
        let mut numbers: Vec<SegmentNumber> = storage
            .list()?
            .iter()
            .filter_map(|name| segment::parse_file_name(name))
            .collect();
        numbers.sort_unstable();
        let mut recovered = RecoveredLog::default();
        recovered.inspection.segments = numbers.len();
        for &number in &numbers {
            let bytes = storage.read(&segment::file_name(number))?;
            recovered.inspection.bytes += bytes.len() as u64;
            recovered.read_segment(number, &bytes, numbers.last() == Some(&number));
        }
        Ok(recovered)
    }

    /// Returns the invocations that have not completed, in order of their ids.
    pub(crate) fn into_open_invocations(self) -> Vec<InvocationRecord> {
        self.invocations
            .into_values()
            .map(|invocation| invocation.record)
            .collect()
    }

    fn read_segment(&mut self, number: SegmentNumber, bytes: &[u8], is_last: bool) {
        let name = || segment::file_name(number);
        match framing::read_header(bytes) {
            HeaderStatus::Valid => {
                let length = self.replay_frames(number, bytes, is_last);
                self.segments.insert(number, Segment::with_length(length as u64));
            }
            HeaderStatus::Incomplete if is_last => {
                self.inspection.incomplete_bytes += bytes.len() as u64;
                self.segments.insert(number, Segment::default());
            }
            HeaderStatus::Incomplete => self.inspection.faults.push(LogError::Corrupt(name(), 0)),
            HeaderStatus::NotASegment => self.inspection.faults.push(LogError::NotASegment(name())),
            HeaderStatus::UnsupportedVersion(version) => {
                let fault = LogError::UnsupportedVersion(name(), version);
                self.inspection.faults.push(fault);
            }
        }
    }

    /// Replays the frames of a segment up to the first invalid one, and returns the offset at which it
    /// stopped.
    fn replay_frames(&mut self, number: SegmentNumber, bytes: &[u8], is_last: bool) -> usize {
        let mut offset = HEADER_LENGTH;
        while offset < bytes.len() {
            let Some((records, next)) = framing::decode_frame(bytes, offset) else {
                self.report_invalid_frame(number, bytes, offset, is_last);
                break;
            };
            offset = next;
            for record in records {
                self.replay(number, record);
            }
        }
        offset
    }

    /// Counts an invalid frame as the incomplete end of the log, or lists it as a fault.
    fn report_invalid_frame(&mut self, number: SegmentNumber, bytes: &[u8], offset: usize, is_last: bool) {
        if is_last && !framing::valid_frame_follows(bytes, offset) {
            self.inspection.incomplete_bytes += (bytes.len() - offset) as u64;
        } else {
            let name = segment::file_name(number);
            self.inspection
                .faults
                .push(LogError::Corrupt(name, offset as u64));
        }
    }

    fn replay(&mut self, segment: SegmentNumber, record: LogRecord) {
        match record {
            LogRecord::Snapshot(record) => {
                self.invocations
                    .insert(record.id, RecoveredInvocation { segment, record });
            }
            LogRecord::Completed { id } => {
                self.invocations.remove(&id);
            }
            LogRecord::AttemptStarted { id, .. } | LogRecord::RetryScheduled { id, .. } => {
                if let Some(invocation) = self.invocations.get_mut(&id) {
                    invocation.record.apply(&record);
                }
            }
        }
    }
}

/// Reads a log without changing it.
///
/// # Errors
/// An [`io::Error`] if the storage cannot list or read a file. Damage is not an error; it is listed in
/// [`Inspection::faults`].
pub fn inspect<S: LogStorage>(storage: &S) -> io::Result<Inspection> {
    let mut recovered = RecoveredLog::read(storage)?;
    let inspection = std::mem::take(&mut recovered.inspection);
    Ok(Inspection {
        open_invocations: recovered.into_open_invocations(),
        ..inspection
    })
}

/// Writes all readable open invocations to one new segment, then removes the old segments. Returns the
/// inspection of the log before the repair.
///
/// # Errors
/// [`LogError::UnsupportedVersion`] if a segment has another format version; the log is then left unchanged.
/// [`LogError::BatchTooLarge`] if an invocation does not fit into a frame. [`LogError::Io`] if an operation
/// of the storage fails.
pub fn repair<S: LogStorage>(mut storage: S) -> Result<Inspection, LogError> {
    let mut inspection = inspect(&storage)?;
    let is_unsupported = |fault: &LogError| matches!(fault, LogError::UnsupportedVersion(..));
    if let Some(index) = inspection.faults.iter().position(is_unsupported) {
        return Err(inspection.faults.swap_remove(index));
    }
    let old_files: Vec<String> = storage
        .list()?
        .into_iter()
        .filter(|name| segment::parse_file_name(name).is_some())
        .collect();
    let newest = old_files
        .iter()
        .filter_map(|name| segment::parse_file_name(name))
        .max()
        .unwrap_or(0);
    write_snapshots(&mut storage, newest + 1, &inspection.open_invocations)?;
    for name in old_files {
        storage.remove(&name)?;
    }
    storage.sync_directory()?;
    Ok(inspection)
}

/// Writes a new segment with a snapshot of each of these invocations and makes it durable.
fn write_snapshots<S: LogStorage>(
    storage: &mut S,
    number: SegmentNumber,
    invocations: &[InvocationRecord],
) -> Result<(), LogError> {
    let name = segment::file_name(number);
    storage.append(&name, &framing::encode_header())?;
    for invocation in invocations {
        let snapshot = LogRecord::Snapshot(invocation.clone());
        let frame = framing::encode_frame(&[snapshot]).ok_or(LogError::BatchTooLarge(1))?;
        storage.append(&name, &frame)?;
    }
    storage.sync(&name)?;
    storage.sync_directory()?;
    Ok(())
}
