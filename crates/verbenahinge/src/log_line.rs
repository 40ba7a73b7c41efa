//! One line of the log, read back.

/// A line that [`crate::event_log`] wrote, with whatever stands before it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct LogLine {
    lead: String,
    name: String,
    fields: Vec<(String, String)>,
}

impl LogLine {
    /// Reads a line; `None` if it holds no event.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let at = text.find("event=")?;
        let mut fields = Vec::new();
        let mut rest = text[at..].trim();
        while let Some((key, after)) = rest.split_once('=') {
            let (value, left) = split_value(after);
            fields.push((key.trim().to_owned(), value));
            rest = left.trim_start();
        }
        let name = fields.iter().find(|(key, _)| key == "name")?.1.clone();
        Some(Self {
            lead: text[..at].trim().to_owned(),
            name,
            fields,
        })
    }

    /// What stands before the event: the time, and what a collector of logs has added.
    pub(crate) fn lead(&self) -> &str {
        &self.lead
    }

    /// Name of the event.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Value of a field.
    pub(crate) fn field(&self, key: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(name, _)| name == key);
        found.map(|(_, value)| value.as_str())
    }

    /// Fields of the event, without its number and name and those that are left out.
    pub(crate) fn text_without(&self, left_out: &[&str]) -> String {
        let mut texts = Vec::new();
        for (key, value) in &self.fields {
            let key = key.as_str();
            if !["event", "name"].contains(&key) && !left_out.contains(&key) {
                texts.push(format!("{key}={value}"));
            }
        }
        texts.join(" ")
    }
}

/// Takes one value from the front: quoted with the usual escapes, or up to the next space.
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
    // A line that was cut short has no closing quote.
    (value, "")
}
