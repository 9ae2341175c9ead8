//! Finds the line of a field in a YAML text, for error messages.

/// Line, from 1, of the field at the dotted `path`; none when the text leaves it to its default.
pub(super) fn line_of(text: &str, path: &str) -> Option<usize> {
    let mut names = path.split('.').peekable();
    let mut least_indent = 0;
    for (number, line) in text.lines().enumerate() {
        let indent = line.len() - line.trim_start().len();
        let wanted = *names.peek()?;
        if indent < least_indent || !starts_field(line, wanted) {
            continue;
        }
        names.next();
        least_indent = indent + 1;
        if names.peek().is_none() {
            return Some(number + 1);
        }
    }
    None
}

fn starts_field(line: &str, name: &str) -> bool {
    line.trim_start().strip_prefix(name).is_some_and(|rest| rest.trim_start().starts_with(':'))
}
