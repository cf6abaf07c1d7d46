//! Hashes of names against published values.
use super::stable_hash;

#[test]
fn stable_hashes_are_the_published_ones() {
    // From the author's test vectors and from the definition: an empty input, with and without a seed.
    assert_eq!(stable_hash("", 0), 0x2d06_8005_38d3_94c2);
    assert_eq!(stable_hash("a", 0), 0xe6c6_32b6_1e96_4e1f);
    assert_eq!(stable_hash("abc", 0), 0x78af_5f94_892f_3950);
}
