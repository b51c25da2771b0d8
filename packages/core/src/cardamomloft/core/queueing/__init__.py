"""Queue of requests without capacity: order, admission, shares of accounts, retry-after times."""
