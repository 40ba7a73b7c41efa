//! Parser for lines of the event log.

/// A parsed line of [`crate::event_log`] with the text that precedes the event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct LogLine {
    prefix: String,
    name: String,
    fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line. Returns `None` if it contains no event.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let start = text.find("event=")?;
        let mut fields = Vec::new();
        let mut rest = text[start..].trim();
        while let Some((key, after)) = rest.split_once('=') {
            let (value, remainder) = split_value(after);
            fields.push((key.trim().to_owned(), value));
            rest = remainder.trim_start();
        }
        let name = fields.iter().find(|(key, _)| key == "name")?.1.clone();
        Some(Self {
            prefix: text[..start].trim().to_owned(),
            name,
            fields,
        })
    }

    /// Text before the event: the timestamp and any prefix that a log collector added.
    pub(crate) fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Name of the event, in snake case.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Returns the value of the first field with this key.
    pub(crate) fn field(&self, key: &str) -> Option<&str> {
        let entry = self.fields.iter().find(|(name, _)| name == key);
        entry.map(|(_, value)| value.as_str())
    }

    /// Formats the fields of the event except for its number, its name and the excluded keys.
    pub(crate) fn format_fields_except(&self, excluded: &[&str]) -> String {
        let mut formatted = Vec::new();
        for (key, value) in &self.fields {
            let key = key.as_str();
            if !["event", "name"].contains(&key) && !excluded.contains(&key) {
                formatted.push(format!("{key}={value}"));
            }
        }
        formatted.join(" ")
    }
}

/// Splits off the first value: a quoted string with escapes, or the text up to the next space.
fn split_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut is_escaped = false;
    for (index, character) in quoted.char_indices() {
        match (is_escaped, character) {
            (false, '\\') => {
                is_escaped = true;
                continue;
            }
            (false, '"') => return (value, &quoted[index + 1..]),
            (true, 'n') => value.push('\n'),
            (true, 't') => value.push('\t'),
            (_, other) => value.push(other),
        }
        is_escaped = false;
    }
    // A truncated line has no closing quote.
    (value, "")
}
