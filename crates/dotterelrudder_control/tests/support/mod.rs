//! What several tests of control use.
#![allow(dead_code)]

pub mod cluster;
