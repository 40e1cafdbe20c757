use std::env;
use std::path::{Path, PathBuf};

use crate::FleetError;

/// Returns the path of a program of this workspace, beside the running one.
pub(crate) fn binary(name: &str) -> Result<PathBuf, FleetError> {
    let current = env::current_exe().map_err(|source| FleetError::io("current executable", source))?;
    // Tests run from `target/PROFILE/deps`, programs from `target/PROFILE`.
    let found = current
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(name))
        .find(|path| path.is_file());
    found.ok_or_else(|| FleetError::NotBuilt {
        name: name.to_owned(),
        folder: folder(&current).to_owned(),
    })
}

fn folder(current: &Path) -> &Path {
    current.parent().unwrap_or(current)
}
