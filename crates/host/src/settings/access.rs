//! Credentials: those of the host at the targets, and those of operators at the host.

use serde::{Deserialize, Serialize};

/// Credentials of the host at the targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Login {
    /// Database user that the host connects as.
    pub user: String,
    /// Database that the host connects to.
    pub database: String,
    /// Password; `None` if the targets require none.
    pub password: Option<String>,
}

/// An operator who may use the operators' listener.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name in keys (`op_<name>_<secret>`) and in the audit trail; must not contain an underscore.
    pub name: String,
    /// Salt of `digest`, hexadecimal.
    pub salt: String,
    /// SHA-256 of salt and secret, hexadecimal.
    pub digest: String,
}

impl Default for Login {
    fn default() -> Login {
        Login { user: "bergamotvale".into(), database: "bergamotvale".into(), password: None }
    }
}
