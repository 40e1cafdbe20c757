use serde::{Deserialize, Serialize};

/// What the store says of the tasks that schedulers may have started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredForm", into = "StoredForm")]
pub struct StartBoundRow {
    /// Store version of the newest job that may have been started.
    pub version: u64,
    /// Every start since is in the row about the last runs of its worker.
    pub are_runs_listed: bool,
}

/// Form in the store. Earlier releases write and read the version alone; they take the other form for no bound.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum StoredForm {
    Version(u64),
    Listed { version: u64, are_runs_listed: bool },
}

impl From<StoredForm> for StartBoundRow {
    fn from(form: StoredForm) -> Self {
        match form {
            StoredForm::Version(version) => Self {
                version,
                are_runs_listed: false,
            },
            StoredForm::Listed {
                version,
                are_runs_listed,
            } => Self {
                version,
                are_runs_listed,
            },
        }
    }
}

impl From<StartBoundRow> for StoredForm {
    fn from(row: StartBoundRow) -> Self {
        let StartBoundRow {
            version,
            are_runs_listed,
        } = row;
        if are_runs_listed {
            Self::Listed {
                version,
                are_runs_listed,
            }
        } else {
            Self::Version(version)
        }
    }
}
