from cardamomloft.core.difference import Change, difference, dotted


def test_members_are_compared_by_path():
    old = {"services": {"menus": {"deadline_ms": 1000, "priority": "bulk"}}, "format": 1}
    new = {"services": {"menus": {"deadline_ms": 1500, "retry_percent": 5}}, "format": 1}
    changes = difference(old, new)
    assert [str(change) for change in changes] == [
        "~ services.menus.deadline_ms: 1000 -> 1500",
        '- services.menus.priority: "bulk"',
        "+ services.menus.retry_percent: 5",
    ]
    assert difference(new, new) == ()


def test_rule_inserted_first_is_one_added_rule_and_one_order_change():
    one, two = {"name": "one", "when": {}}, {"name": "two", "when": {}}
    assert difference({"rules": [one]}, {"rules": [two, one]}) == (
        Change("rules.(order)", ["one"], ["two", "one"]),
        Change("rules.two", None, two),
    )
    assert difference({"rules": [one, two]}, {"rules": [two, one]}) == (
        Change("rules.(order)", ["one", "two"], ["two", "one"]),
    )
    changed = {"name": "one", "when": {"path": "/a"}}
    assert difference({"rules": [one, two]}, {"rules": [changed, two]}) == (
        Change("rules.one.when.path", None, "/a"),
    )


def test_order_of_links_is_ignored_and_digests_are_compared_one_by_one():
    ab, ba = ({"origin": o, "target": t, "bytes_per_s": 1} for o, t in ("ab", "ba"))
    assert difference([ab, ba], [ba, ab]) == ()
    assert difference([ab], [{**ab, "bytes_per_s": 2}]) == (Change('"a:b".bytes_per_s', 1, 2),)
    digests = [f"{n:064x}" for n in range(40)]
    assert difference(digests, [*digests[1:], "f" * 64]) == (
        Change(digests[0], digests[0], None),
        Change("f" * 64, None, "f" * 64),
    )


def test_true_and_1_are_different_values():
    assert difference({"idempotent": True}, {"idempotent": 1}) == (Change("idempotent", True, 1),)


def test_short_lists_and_duplicate_labels_are_compared_as_a_whole():
    assert difference({"method": ["GET"]}, {"method": ["PUT", "GET"]}) == (
        Change("method", ["GET"], ["PUT", "GET"]),
    )
    twins = [{"name": "a"}, {"name": "a"}]
    assert difference(twins, []) == (Change("", twins, []),)


def test_parts_with_dots_are_quoted():
    assert dotted("clients", "blocks", "10.0.0.0/8") == 'clients.blocks."10.0.0.0/8"'
