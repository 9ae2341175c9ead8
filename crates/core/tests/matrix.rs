//! Checks that the fault matrix in docs/FAULTS.md names every case file, and that every case and
//! test that it names exists.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// Faults, the sections of the page.
const FAULTS: [&str; 12] = [
    "Partition of a primary",
    "Replica far behind",
    "Host dies in mid-transaction",
    "Key withdrawn while connected",
    "Store down",
    "Store slow",
    "Answer lost after its effect",
    "Lease lapsed while paused",
    "Operators racing",
    "Silent connections",
    "Two together",
    "Other faults",
];
/// Steps, the lines of each section.
const STEPS: [&str; 13] = [
    "read",
    "write",
    "transaction",
    "retry",
    "promotion",
    "share move",
    "lending",
    "key withdrawal",
    "configuration",
    "plan step",
    "drain",
    "join",
    "stop",
];
/// Shortest text, in bytes, that is accepted as a reason for a cell without a case.
const MIN_REASON_LENGTH: usize = 15;

/// Text of each cell, by fault and step.
type Matrix = BTreeMap<(String, String), String>;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page() -> String {
    fs::read_to_string(root().join("docs/FAULTS.md")).expect("the page exists")
}

fn parse(page: &str) -> Matrix {
    let mut matrix = Matrix::new();
    let mut fault = String::new();
    for line in page.lines() {
        if let Some(title) = line.strip_prefix("## ") {
            title.clone_into(&mut fault);
        }
        let cells = line.strip_prefix("| ").and_then(|line| line.strip_suffix(" |"));
        if let Some((step, cell)) = cells.and_then(|cells| cells.split_once(" | ")) {
            let replaced = matrix.insert((fault.clone(), step.into()), cell.into());
            assert_eq!(replaced, None, "{fault}: two lines for {step}");
        }
    }
    matrix.retain(|(_, step), _| step != "step");
    matrix
}

/// Returns the names between backticks.
fn quoted_names(text: &str) -> BTreeSet<String> {
    text.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

/// Returns `protocol/case` of every case file.
fn cases() -> BTreeSet<String> {
    let cases = root().join("crates/core/tests/cases");
    let mut names = BTreeSet::new();
    for protocol in fs::read_dir(cases).expect("cases exist") {
        let protocol = protocol.expect("the directory of a protocol").path();
        for case in fs::read_dir(&protocol).expect("the cases of a protocol") {
            let case = case.expect("a case file").path();
            let stem =
                |path: &Path| path.file_stem().expect("the file has a name").display().to_string();
            names.insert(format!("{}/{}", stem(&protocol), stem(&case)));
        }
    }
    names
}

/// Whether `name` has the form `crate::file::function` and names an existing test.
fn is_test(name: &str) -> bool {
    let parts: Vec<_> = name.split("::").collect();
    let [member, file, function] = parts[..] else { return false };
    let path = root().join(format!("crates/{member}/tests/{file}.rs"));
    let text = fs::read_to_string(path).unwrap_or_default();
    let lines: Vec<_> = text.lines().map(str::trim).collect();
    let declares = |line: &str| {
        let line = line.strip_prefix("async ").unwrap_or(line);
        line.strip_prefix("fn ").is_some_and(|rest| rest.starts_with(&format!("{function}()")))
    };
    lines.windows(2).any(|pair| {
        let is_marked = pair[0].starts_with("#[test") || pair[0].starts_with("#[tokio::test");
        is_marked && declares(pair[1])
    })
}

/// Returns a message for each missing, unknown or invalid cell and each case that no cell names.
fn matrix_errors(matrix: &Matrix, cases: &BTreeSet<String>) -> Vec<String> {
    let mut errors = Vec::new();
    for (fault, step) in FAULTS.iter().flat_map(|f| STEPS.iter().map(move |s| (f, s))) {
        match matrix.get(&((*fault).to_owned(), (*step).to_owned())) {
            None => errors.push(format!("{fault}: the line `| {step} | … |` is missing")),
            Some(cell) => errors.extend(cell_errors(fault, step, cell, cases)),
        }
    }
    for (fault, step) in matrix.keys() {
        if !FAULTS.contains(&fault.as_str()) || !STEPS.contains(&step.as_str()) {
            errors.push(format!("{fault}: {step} is no cell of the matrix"));
        }
    }
    let listed: BTreeSet<_> = matrix.values().flat_map(|cell| quoted_names(cell)).collect();
    for case in cases.difference(&listed) {
        let section = "the section of its fault, in the line of its step";
        errors.push(format!("docs/FAULTS.md lacks `{case}`: add it to {section}"));
    }
    errors
}

fn cell_errors(fault: &str, step: &str, cell: &str, cases: &BTreeSet<String>) -> Vec<String> {
    let names = quoted_names(cell);
    let reason = cell.strip_prefix("none: ").or_else(|| cell.strip_prefix("open: "));
    if names.is_empty() && reason.is_none_or(|reason| reason.len() < MIN_REASON_LENGTH) {
        return vec![format!("{fault}, {step}: neither a case nor a reason")];
    }
    let missing = names.iter().filter(|name| !cases.contains(*name) && !is_test(name));
    missing.map(|name| format!("{fault}, {step}: there is no `{name}`")).collect()
}

#[test]
fn page_and_cases_agree() {
    let errors = matrix_errors(&parse(&page()), &cases());

    assert!(errors.is_empty(), "{}", errors.join("\n"));
}

#[test]
fn unlisted_case_is_seen() {
    let mut cases = cases();
    cases.insert("read/brand_new".into());

    let errors = matrix_errors(&parse(&page()), &cases);

    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(errors[0].contains("lacks `read/brand_new`"));
}

#[test]
fn missing_case_test_line_and_reason_are_seen() {
    let valid = parse(&page());
    let key = ("Store down".to_owned(), "read".to_owned());
    for cell in ["`read/nonsense`", "`core::search::nonsense`", "none: no", ""] {
        let mut matrix = valid.clone();
        matrix.insert(key.clone(), cell.into());
        assert!(!matrix_errors(&matrix, &cases()).is_empty(), "{cell}");
    }
    let mut matrix = valid;
    matrix.remove(&key);

    assert!(!matrix_errors(&matrix, &cases()).is_empty());
}
