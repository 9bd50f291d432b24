"""Stand-ins and checks for trials of siskinhold; not part of the product."""
