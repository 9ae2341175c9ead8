//! The fleet as one host sees it: copies of the platform's tables, members and other hosts.

mod copies;
pub mod feed;
pub mod follow;
pub mod member;
pub mod peer;
pub mod restore;
