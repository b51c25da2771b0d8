"""An entry knows whether most of the others that it asks answer it."""

from datetime import timedelta

from cardamomloft.core.connectivity.contacts import CONTACT_TIME, Contacts

MS = timedelta(milliseconds=1)


def test_contact_is_lost_once_some_of_those_asked_are_silent():
    contacts = Contacts()
    for number in range(5):
        contacts.record_asked(f"e-{number}", number * 50 * MS)
    assert not contacts.are_lost(350 * MS)
    assert contacts.are_lost(700 * MS)
    for number in range(3):
        contacts.record_heard(f"e-{number}", 710 * MS)
    assert contacts.are_lost(720 * MS)
    contacts.record_heard("e-3", 730 * MS)
    assert not contacts.are_lost(740 * MS)


def test_one_entry_that_the_store_answers_is_enough():
    contacts = Contacts()
    for number in range(5):
        contacts.record_asked(f"e-{number}", 0 * MS)
    contacts.record_informed(500 * MS)
    assert not contacts.are_lost(1500 * MS)
    contacts.record_asked("e-0", 2000 * MS)
    assert contacts.are_lost(2600 * MS)


def test_without_questions_contact_is_not_lost():
    contacts = Contacts()
    assert not contacts.are_lost(0 * MS)
    contacts.record_asked("e-0", 0 * MS)
    assert contacts.are_lost(CONTACT_TIME)
    assert not contacts.are_lost(CONTACT_TIME + MS)


def test_answer_to_an_earlier_question_does_not_count_for_a_later_one():
    contacts = Contacts()
    contacts.record_asked("e-0", 0 * MS)
    contacts.record_heard("e-0", 10 * MS)
    contacts.record_asked("e-0", 1000 * MS)
    assert not contacts.are_lost(1200 * MS)
    assert contacts.are_lost(1500 * MS)
