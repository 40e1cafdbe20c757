/// Format of what a command prints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Format {
    /// Table or lines for people.
    #[default]
    Table,
    /// JSON for scripts.
    Json,
}

impl From<&str> for Format {
    fn from(text: &str) -> Self {
        if text == "json" { Self::Json } else { Self::Table }
    }
}
