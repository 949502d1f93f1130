//! The scenario language and its reports.
