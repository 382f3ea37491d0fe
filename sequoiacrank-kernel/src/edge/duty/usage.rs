//! Requests of each workspace by usage window.
