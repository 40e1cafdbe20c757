use std::env;
use std::path::{Path, PathBuf};

use crate::FleetError;

/// Returns the path of a program of this workspace that was built next to the running one.
pub(crate) fn binary_path(name: &str) -> Result<PathBuf, FleetError> {
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
        folder: parent_folder(&current).to_owned(),
    })
}

fn parent_folder(current: &Path) -> &Path {
    current.parent().unwrap_or(current)
}
