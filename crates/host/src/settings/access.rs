//! Who logs in: the host to the targets, operators to the host.

use serde::{Deserialize, Serialize};

/// Login to the targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Login {
    /// Database user.
    pub user: String,
    /// Database name.
    pub database: String,
    /// Password, when the targets ask for one.
    pub password: Option<String>,
}

/// Who may use the operators' listener.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name, as the audit trail shows it.
    pub name: String,
    /// Salt, hexadecimal.
    pub salt: String,
    /// SHA-256 of salt and secret, hexadecimal.
    pub digest: String,
}

impl Default for Login {
    fn default() -> Login {
        Login { user: "bergamotvale".into(), database: "bergamotvale".into(), password: None }
    }
}
