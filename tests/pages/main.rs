//! Checks what pages of the guide say of the code.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// The state of a row that names tests begins with this.
const TESTED: &str = "tested: ";

const STATES: [&str; 3] = [TESTED, "read", "open"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the Rust files below a folder that lie in a folder `tests`.
fn test_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() && !path.ends_with("target") {
            files.extend(test_files(&path));
        } else if path.extension().is_some_and(|e| e == "rs") {
            files.push(path);
        }
    }
    files.retain(|path| path.components().any(|c| c.as_os_str() == "tests"));
    files
}

/// Returns the last cells of the rows of a page's tables.
fn last_cells(page: &str) -> Vec<&str> {
    let rows = page.lines().filter(|line| line.starts_with("| "));
    let rows = rows.filter(|line| !line.starts_with("| Pages"));
    let cells = rows.filter_map(|row| row.trim_end_matches('|').rsplit('|').next());
    cells.map(str::trim).collect()
}

/// Guards against a page that names a test which was renamed or never written.
#[test]
fn the_tests_that_the_protocol_page_names_exist() {
    let page = fs::read_to_string(root().join("docs/design/protocol.md")).expect("the page");
    let folders = ["tests", "crates", "platform"].map(|folder| root().join(folder));
    let files = folders.iter().flat_map(|folder| test_files(folder));
    let code: String = files
        .map(|file| fs::read_to_string(file).expect("a file"))
        .collect();
    let cells = last_cells(&page);
    assert!(cells.len() > 40, "{} rows", cells.len());
    for cell in cells {
        assert!(STATES.iter().any(|s| cell.starts_with(s)), "state: {cell}");
        let names = cell.strip_prefix(TESTED).unwrap_or_default();
        let names: Vec<&str> = names.split('`').skip(1).step_by(2).collect();
        assert_eq!(names.is_empty(), !cell.starts_with(TESTED), "{cell}");
        for name in names {
            assert!(code.contains(&format!("fn {name}(")), "no test {name}");
        }
    }
}
