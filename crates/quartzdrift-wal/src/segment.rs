//! Segment file names, and the bookkeeping that tells when a segment can be removed.

/// Number of a segment; segments are written in the order of their numbers.
pub(crate) type SegmentNumber = u64;

/// Size of a segment and its number of open invocations.
#[derive(Default)]
pub(crate) struct Segment {
    /// Bytes of the file, its header included.
    pub(crate) length: u64,
    /// Number of open invocations whose latest snapshot is in this segment.
    pub(crate) open_invocations: usize,
}

impl Segment {
    /// Creates a segment of `length` bytes without open invocations.
    pub(crate) fn with_length(length: u64) -> Segment {
        Segment {
            length,
            open_invocations: 0,
        }
    }
}

/// Returns the file name of a segment.
pub(crate) fn file_name(number: SegmentNumber) -> String {
    format!("deferred-{number:012}.log")
}

/// Parses the file name of a segment; `None` if it is another kind of file.
pub(crate) fn parse_file_name(name: &str) -> Option<SegmentNumber> {
    name.strip_prefix("deferred-")?.strip_suffix(".log")?.parse().ok()
}
