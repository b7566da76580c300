"""Stand-ins, processes and clients that the cases of the review share."""
