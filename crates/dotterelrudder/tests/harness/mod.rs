//! A small seeded harness: the cores of a whole deployment, links, disks and processes that fail,
//! and fakes at the interfaces. It checks the invariants after every step.
#![allow(dead_code)]

pub mod backend;
pub mod case;
pub mod disk;
pub mod invariants;
pub mod node;
pub mod world;
