//! Finds the line of a field in a YAML text, for error messages.

/// Line, counted from 1, of the field at the dotted `path`; `None` if `text` does not set the
/// field.
pub(super) fn find(text: &str, path: &str) -> Option<usize> {
    let mut segments = path.split('.').peekable();
    let mut min_indent = 0;
    for (number, line) in text.lines().enumerate() {
        let indent = line.len() - line.trim_start().len();
        let segment = *segments.peek()?;
        if indent < min_indent || !starts_field(line, segment) {
            continue;
        }
        segments.next();
        min_indent = indent + 1;
        if segments.peek().is_none() {
            return Some(number + 1);
        }
    }
    None
}

fn starts_field(line: &str, name: &str) -> bool {
    line.trim_start().strip_prefix(name).is_some_and(|rest| rest.trim_start().starts_with(':'))
}
