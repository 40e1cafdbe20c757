use std::fmt;

use model::Config;

/// Difference between two configurations; displayed to operators as one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Whether the record was added, removed or altered.
    pub kind: ChangeKind,
    /// Record, such as `organisation clyde-koi`.
    pub record: String,
}

/// Kind of a difference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ChangeKind {
    /// Only the newer configuration has the record.
    Added,
    /// Only the older configuration has the record.
    Removed,
    /// Both have it with different values.
    Altered,
}

impl Change {
    /// Returns the differences from `old` to `new`, in order of kind of record and name. Versions are ignored.
    pub fn between(old: &Config, new: &Config) -> Vec<Self> {
        let mut changes = Vec::new();
        compare(
            &mut changes,
            "organisation",
            &old.organisations,
            &new.organisations,
            |record| record.id.to_string(),
        );
        compare(
            &mut changes,
            "data_centre",
            &old.data_centres,
            &new.data_centres,
            |record| record.id.to_string(),
        );
        compare(&mut changes, "priority", &old.priorities, &new.priorities, |record| {
            format!("{} {:?}", record.organisation, record.class).to_lowercase()
        });
        changes
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            ChangeKind::Added => '+',
            ChangeKind::Removed => '-',
            ChangeKind::Altered => '~',
        };
        write!(f, "{sign} {}", self.record)
    }
}

fn compare<T: PartialEq>(changes: &mut Vec<Change>, kind: &str, old: &[T], new: &[T], name: impl Fn(&T) -> String) {
    let mut push = |change_kind, record: &T| {
        changes.push(Change {
            kind: change_kind,
            record: format!("{kind} {}", name(record)),
        });
    };
    for record in old {
        match new.iter().find(|other| name(other) == name(record)) {
            None => push(ChangeKind::Removed, record),
            Some(other) if other != record => push(ChangeKind::Altered, record),
            Some(_) => {}
        }
    }
    for record in new
        .iter()
        .filter(|record| !old.iter().any(|other| name(other) == name(record)))
    {
        push(ChangeKind::Added, record);
    }
}
