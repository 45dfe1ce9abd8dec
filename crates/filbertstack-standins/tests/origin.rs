//! An origin over loopback: ranges.

mod common;

use filbertstack_standins::Origin;
use filbertstack_standins::OriginConfig;

use common::get;
use common::get_with;
use common::weights;

#[test]
fn serves_whole_files_and_ranges_with_one_etag() {
    let dir = weights("abcd");
    let origin = Origin::start(OriginConfig::new(dir.path())).unwrap();
    let whole = get(&origin.addr(), "/weights.bin");
    let tag = whole.header("ETag").unwrap().to_owned();
    let whole = whole.bytes();
    assert_eq!(whole.len(), 4096);
    let part = get_with(&origin.addr(), "/weights.bin", &[("Range", "bytes=10-13")]);
    assert_eq!(part.status(), 206);
    assert_eq!(part.header("Content-Range"), Some("bytes 10-13/4096"));
    assert_eq!(part.header("ETag"), Some(tag.as_str()));
    assert_eq!(part.bytes(), whole[10..14]);
}

#[test]
fn a_range_outside_the_file_is_416_and_a_path_upwards_is_404() {
    let dir = weights("abcd");
    let origin = Origin::start(OriginConfig::new(dir.path())).unwrap();
    let part = get_with(&origin.addr(), "/weights.bin", &[("Range", "bytes=4096-")]);
    assert_eq!(part.status(), 416);
    assert_eq!(part.header("Content-Range"), Some("bytes */4096"));
    assert_eq!(get(&origin.addr(), "/none").status(), 404);
}
