import time
import unittest

from hypothesis import given
from hypothesis import strategies as st
from medlargate_standins.fuzzing import make_fuzz_settings

from .. import (
    MAX_STATEMENT_LENGTH,
    Command,
    Condition,
    Explain,
    Show,
    StatementError,
    format_statement,
    list_completions,
    parse_statement,
)

SETTINGS = make_fuzz_settings(n_long=20_000)
KEYWORDS = ("where", "order", "limit", "as", "dry", "and", "by", "true", "false")

WORDS = (
    *("show", "customers", "where", "name", "=", "1", "and", "order", "by", "limit"),
    *("as", "json", "create", "key", "a-b", ",", "[", "]", '"', "<=", "~", "dry"),
    *("run", "drain", "domain", "lift", "quarantine", "1.5", "\x00"),
)

fields = st.from_regex(r"[a-z][a-z0-9_]{0,10}", fullmatch=True).filter(
    lambda word: word not in KEYWORDS
)
names = st.from_regex(r"[a-z0-9][a-z0-9._-]{0,12}", fullmatch=True)
texts = st.text(
    st.characters(exclude_characters='"\\\n', exclude_categories=["Cs", "Cc"]),
    max_size=12,
)
scalars = st.one_of(
    st.integers(-(10**6), 10**6),
    st.booleans(),
    texts,
    st.integers(-(10**6), 10**6).map(lambda n: n / 64),
)
values = st.one_of(scalars, st.lists(scalars, max_size=3))
outputs = st.sampled_from(["table", "json"])
conditions = st.builds(
    Condition, fields, st.sampled_from(["=", "!=", "<", "<=", ">", ">=", "~"]), scalars
)
shows = st.builds(
    Show,
    st.sampled_from(["customers", "keys", "classes", "nodes", "backends", "events"]),
    st.lists(conditions, max_size=3).map(tuple),
    st.just(""),
    st.just(False),
    st.none() | st.integers(0, 10**6),
    outputs,
)
ordered = st.builds(
    Show, st.just("customers"), st.just(()), fields, st.booleans(), st.none(), outputs
)
explains = st.builds(
    Explain,
    st.sampled_from(["request", "customer", "class", "backend"]),
    names,
    outputs,
)
pairs = st.lists(st.tuples(fields, values), max_size=3).map(tuple)
commands = st.one_of(
    st.builds(
        Command,
        st.just("create"),
        st.sampled_from(["customer", "key", "class", "route", "backend"]),
        names.filter(lambda name: name not in KEYWORDS),
        pairs,
        st.booleans(),
    ),
    st.builds(
        Command,
        st.sampled_from(["drain", "undrain"]),
        st.sampled_from(["backend", "domain"]),
        names.filter(lambda name: name not in KEYWORDS),
        st.just(()),
        st.booleans(),
    ),
)


class RoundTripTest(unittest.TestCase):
    @SETTINGS
    @given(st.one_of(shows, ordered, explains, commands))
    def test_formatted_statement_parses_to_the_same_statement(self, statement):
        self.assertEqual(parse_statement(format_statement(statement)), statement)


class InvalidInputTest(unittest.TestCase):
    @SETTINGS
    @given(st.text(max_size=60))
    def test_any_text_parses_or_reports_a_position(self, text):
        self.check(text)

    @SETTINGS
    @given(st.lists(st.sampled_from(WORDS), max_size=12).map(" ".join))
    def test_any_words_parse_or_report_a_position(self, text):
        self.check(text)

    def check(self, text):
        try:
            parse_statement(text)
        except StatementError as exc:
            self.assertTrue(0 <= exc.position <= len(text))
            self.assertTrue(exc.message)

    def test_too_long_input_is_rejected_quickly(self):
        started_at = time.process_time()
        with self.assertRaises(StatementError) as caught:
            parse_statement("show customers where " + "a" * 100_000)
        self.assertIn(str(MAX_STATEMENT_LENGTH), caught.exception.message)
        self.assertLess(time.process_time() - started_at, 1.0)


class ErrorTest(unittest.TestCase):
    def test_error_lists_the_expected_words(self):
        with self.assertRaises(StatementError) as caught:
            parse_statement("show keyz")
        self.assertEqual(caught.exception.position, 5)
        self.assertIn("keys", caught.exception.message)

    def test_caret_is_under_the_unexpected_word(self):
        with self.assertRaises(StatementError) as caught:
            parse_statement("drain server x")
        caret = caught.exception.format_with_caret("drain server x").splitlines()[1]
        self.assertTrue(caret.startswith("      ^"))


class CompletionTest(unittest.TestCase):
    def test_words_with_the_prefix(self):
        self.assertEqual(list_completions("show cl"), ["classes"])
        self.assertIn("where", list_completions("show classes w"))

    def test_no_completion(self):
        self.assertEqual(list_completions("nonsense x"), [])
