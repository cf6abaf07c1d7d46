//! Segments: the names of their files, and how much of each is still needed.

/// Place of a segment in the log; later segments have greater numbers.
pub(crate) type SegmentNumber = u64;

/// What the open log knows of a segment.
#[derive(Default)]
pub(crate) struct Segment {
    /// Bytes of the file, its header included.
    pub(crate) length: u64,
    /// Open invocations whose latest snapshot lies here.
    pub(crate) open_invocations: usize,
}

impl Segment {
    /// A segment of `length` bytes to which no invocation was assigned yet.
    pub(crate) fn with_length(length: u64) -> Segment {
        Segment {
            length,
            open_invocations: 0,
        }
    }
}

/// Name of a segment's file.
pub(crate) fn file_name(number: SegmentNumber) -> String {
    format!("deferred-{number:012}.log")
}

/// The segment in a file with this name; `None` for any other file.
pub(crate) fn number_of_file(name: &str) -> Option<SegmentNumber> {
    name.strip_prefix("deferred-")?.strip_suffix(".log")?.parse().ok()
}
