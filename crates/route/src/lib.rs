//! Choice of entry host, upstream and instance, retries, request ids and quarantine.
