use super::*;

#[test]
fn a_damaged_or_truncated_snapshot_is_an_error() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(CHECKPOINT);
    write(folder.path(), CHECKPOINT, b"{\"starts\": 3}").unwrap();
    let whole = fs::read(&path).unwrap();
    assert_eq!(
        read(folder.path(), CHECKPOINT).unwrap().unwrap(),
        b"{\"starts\": 3}"
    );
    for bit in 0..whole.len() * 8 {
        let mut damaged = whole.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        fs::write(&path, &damaged).unwrap();
        assert!(read(folder.path(), CHECKPOINT).is_err(), "bit {bit}");
    }
    for length in 0..whole.len() {
        fs::write(&path, &whole[..length]).unwrap();
        assert!(read(folder.path(), CHECKPOINT).is_err(), "{length} bytes");
    }
    // Earlier releases wrote no checksum.
    fs::write(folder.path().join(WORKERS), b"[]").unwrap();
    assert_eq!(read(folder.path(), WORKERS).unwrap().unwrap(), b"[]");
}

#[test]
fn the_newest_snapshot_is_on_disk_once_the_writer_is_dropped() {
    let folder = tempfile::tempdir().unwrap();
    assert!(read(folder.path(), WORKERS).unwrap().is_none());
    let writer = SnapshotWriter::start(folder.path().join("state")).unwrap();
    (0..100).for_each(|number| writer.enqueue(WORKERS, format!("[{number}]").into_bytes()));
    writer.enqueue(FORECASTS, b"other".to_vec());
    drop(writer);
    assert_eq!(
        read(&folder.path().join("state"), WORKERS).unwrap().unwrap(),
        b"[99]"
    );
}
