//! Reading a log: recovery after a start, inspection without a change, and repair of a damaged log.
//!
//! Only the last frame of the log may be incomplete, because each batch is durable before the next one is written. An
//! incomplete frame at the end was never acknowledged and is dropped; anything else that cannot be read is a fault.
use crate::error::LogError;
use crate::framing::{self, HEADER_LENGTH, Header};
use crate::record::{InvocationRecord, LogRecord};
use crate::segment::{self, Segment, SegmentNumber};
use crate::storage::LogStorage;
use std::collections::BTreeMap;
use std::io;

/// What a log contains.
#[derive(Debug, Default)]
pub struct Inspection {
    /// Number of segments.
    pub segments: usize,
    /// Bytes of all segments.
    pub bytes: u64,
    /// Invocations that have not completed, by id.
    pub open_invocations: Vec<InvocationRecord>,
    /// Bytes at the end that a crash cut short. They were never acknowledged as durable.
    pub incomplete_bytes: u64,
    /// What is damaged, or not a segment of this release. What follows damage in a segment is left out.
    pub faults: Vec<LogError>,
}

/// An invocation and the segment that holds its latest snapshot.
pub(crate) struct RecoveredInvocation {
    pub(crate) segment: SegmentNumber,
    pub(crate) record: InvocationRecord,
}

/// All segments of a log, replayed. `inspection` has no open invocations yet: they are in `invocations`.
#[derive(Default)]
pub(crate) struct Recovery {
    pub(crate) segments: BTreeMap<SegmentNumber, Segment>,
    pub(crate) invocations: BTreeMap<u64, RecoveredInvocation>,
    pub(crate) inspection: Inspection,
}

impl Recovery {
    /// Replays all segments in order.
    pub(crate) fn read<S: LogStorage>(storage: &S) -> io::Result<Recovery> {
        let mut numbers: Vec<SegmentNumber> = storage
            .list()?
            .iter()
            .filter_map(|name| segment::number_of_file(name))
            .collect();
        numbers.sort_unstable();
        let mut recovery = Recovery::default();
        recovery.inspection.segments = numbers.len();
        for &number in &numbers {
            let bytes = storage.read(&segment::file_name(number))?;
            recovery.inspection.bytes += bytes.len() as u64;
            recovery.read_segment(number, &bytes, numbers.last() == Some(&number));
        }
        Ok(recovery)
    }

    /// The invocations that have not completed, by id.
    pub(crate) fn open_invocations(self) -> Vec<InvocationRecord> {
        self.invocations
            .into_values()
            .map(|invocation| invocation.record)
            .collect()
    }

    fn read_segment(&mut self, number: SegmentNumber, bytes: &[u8], is_last: bool) {
        let name = || segment::file_name(number);
        match framing::read_header(bytes) {
            Header::Valid => {
                let length = self.replay_frames(number, bytes, is_last);
                self.segments.insert(number, Segment::with_length(length as u64));
            }
            Header::Incomplete if is_last => {
                self.inspection.incomplete_bytes += bytes.len() as u64;
                self.segments.insert(number, Segment::default());
            }
            Header::Incomplete => self.inspection.faults.push(LogError::Corrupt(name(), 0)),
            Header::Foreign => self.inspection.faults.push(LogError::Foreign(name())),
            Header::Version(version) => self.inspection.faults.push(LogError::Version(name(), version)),
        }
    }

    /// Replays the frames of a segment and returns the offset behind the last valid one.
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
/// Those of the storage. Damage is no error but a fault in the result.
pub fn inspect<S: LogStorage>(storage: &S) -> io::Result<Inspection> {
    let mut recovery = Recovery::read(storage)?;
    let inspection = std::mem::take(&mut recovery.inspection);
    Ok(Inspection {
        open_invocations: recovery.open_invocations(),
        ..inspection
    })
}

/// Rewrites whatever can be read of a log into one new segment, then removes the others. Returns what was found.
///
/// # Errors
/// [`LogError::Version`] where another release wrote a segment: nothing is changed then. Else those of the storage, and
/// [`LogError::TooLong`] where an invocation does not fit a frame.
pub fn repair<S: LogStorage>(mut storage: S) -> Result<Inspection, LogError> {
    let mut inspection = inspect(&storage)?;
    let newer = |fault: &LogError| matches!(fault, LogError::Version(..));
    if let Some(index) = inspection.faults.iter().position(newer) {
        return Err(inspection.faults.swap_remove(index));
    }
    let old_files: Vec<String> = storage
        .list()?
        .into_iter()
        .filter(|name| segment::number_of_file(name).is_some())
        .collect();
    let newest = old_files
        .iter()
        .filter_map(|name| segment::number_of_file(name))
        .max()
        .unwrap_or(0);
    write_snapshots(&mut storage, newest + 1, &inspection.open_invocations)?;
    for name in old_files {
        storage.remove(&name)?;
    }
    storage.sync_names()?;
    Ok(inspection)
}

/// Writes a new segment that holds these invocations, durably.
fn write_snapshots<S: LogStorage>(
    storage: &mut S,
    number: SegmentNumber,
    invocations: &[InvocationRecord],
) -> Result<(), LogError> {
    let name = segment::file_name(number);
    storage.append(&name, &framing::header())?;
    for invocation in invocations {
        let snapshot = LogRecord::Snapshot(invocation.clone());
        let frame = framing::encode_frame(&[snapshot]).ok_or(LogError::TooLong)?;
        storage.append(&name, &frame)?;
    }
    storage.sync(&name)?;
    storage.sync_names()?;
    Ok(())
}
