#include "libstatus/report.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Replaces control characters, so that none reaches the terminal. */
static void append_text(GString *s, const char *text)
{
	for (; *text; text++)
		g_string_append_c(s, g_ascii_iscntrl(*text) ? '?' : *text);
}

static void append_json(GString *s, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);

	append_text(s, text ? text : "unknown");
	free(text);
}

/* Appends the age of a field, if the document has it. */
static void append_age(GString *s, const struct bb_status_answer *a,
		       const char *field)
{
	char *name = g_strconcat(field, "_age_ms", NULL);
	json_t *age = json_object_get(a->document, name);

	if (json_is_integer(age))
		g_string_append_printf(s, " (%" G_GINT64_FORMAT " ms old)",
				       (gint64)json_integer_value(age) +
					       a->age_us / 1000);
	g_free(name);
}

static void append_field(GString *s, const struct bb_status_answer *a,
			 const char *label, const char *field)
{
	json_t *value = json_object_get(a->document, field);

	g_string_append_printf(s, "%s", label);
	if (json_is_string(value))
		append_text(s, json_string_value(value));
	else if (json_is_boolean(value))
		g_string_append(s, json_is_true(value) ? "yes" : "no");
	else if (value && !json_is_null(value))
		append_json(s, value);
	else
		g_string_append(s, "unknown");
	append_age(s, a, field);
}

static void append_automation(GString *s, const struct bb_status_answer *a)
{
	json_t *value = json_object_get(a->document, "automation");
	const char *text = "unknown";

	if (json_is_boolean(value))
		text = json_is_true(value) ? "on" : "off";
	g_string_append_printf(s, ", automation %s", text);
	append_age(s, a, "automation");
}

static const char *string_field(json_t *row, const char *field)
{
	return json_string_value(json_object_get(row, field));
}

static bool field_equals(json_t *row, const char *field, const char *text)
{
	const char *value = string_field(row, field);

	return value && !strcmp(value, text);
}

static void append_row(GString *s, json_t *row, const char *state,
		       const char *reason, json_t *age)
{
	const char *name = json_string_value(json_object_get(row, "name"));

	g_string_append_c(s, ' ');
	append_text(s, name ? name : "unknown");
	g_string_append(s, " (");
	if (state) {
		append_text(s, state);
		g_string_append(s, ": ");
	}
	append_text(s, reason ? reason : "unknown");
	if (json_is_integer(age))
		g_string_append_printf(s, ", %" G_GINT64_FORMAT " ms old",
				       (gint64)json_integer_value(age));
	g_string_append_c(s, ')');
}

static void append_backends(GString *s, json_t *list)
{
	size_t i, ejected = 0;
	json_t *row;

	g_string_append(s, ", ejected");
	if (!json_is_array(list)) {
		g_string_append(s, " unknown");
		return;
	}
	json_array_foreach (list, i, row) {
		/* A backend server in trial has not been readmitted yet. */
		if (!field_equals(row, "state", "ejected") &&
		    !field_equals(row, "state", "trial"))
			continue;
		append_row(s, row, NULL, string_field(row, "reason"),
			   json_object_get(row, "age_ms"));
		ejected++;
	}
	if (!ejected)
		g_string_append(s, " none");
	json_array_foreach (list, i, row) {
		json_t *would = json_object_get(row, "would");
		const char *state = string_field(would, "state");

		if (!state)
			continue;
		g_string_append(s, ", would act on");
		append_row(s, row, state, string_field(would, "reason"),
			   json_object_get(would, "age_ms"));
	}
}

static void append_hosts(GString *s, json_t *list, const char *field)
{
	json_t *names = json_object_get(list, field), *name;
	size_t i;

	if (!json_array_size(names))
		return;
	g_string_append_printf(s, ", %s", field);
	json_array_foreach (names, i, name) {
		g_string_append_c(s, ' ');
		append_text(s, json_string_value(name) ?
				       json_string_value(name) :
				       "unknown");
	}
}

/* Appends nothing for a node that does not read the platform's host list. */
static void append_host_list(GString *s, json_t *list)
{
	json_t *sequence = json_object_get(list, "sequence");
	json_t *age = json_object_get(list, "age_ms");

	if (!json_is_object(list))
		return;
	if (!json_is_integer(sequence) || !json_integer_value(sequence)) {
		g_string_append(s, ", host list not read");
		return;
	}
	g_string_append_printf(s, ", host list %" G_GINT64_FORMAT,
			       (gint64)json_integer_value(sequence));
	if (json_is_integer(age))
		g_string_append_printf(s, " (read %" G_GINT64_FORMAT " ms ago)",
				       (gint64)json_integer_value(age));
	append_hosts(s, list, "leaving");
	append_hosts(s, list, "dead");
}

char *bb_status_line(const struct bb_status_answer *a)
{
	GString *s = g_string_new(a->node);

	if (a->error) {
		g_string_append(s, ": no answer: ");
		append_text(s, a->error);
		return g_string_free(s, FALSE);
	}
	append_field(s, a, ": host ", "host");
	append_field(s, a, ", ", "state");
	append_field(s, a, ", incarnation ", "incarnation");
	append_field(s, a, ", version ", "config_version");
	append_automation(s, a);
	append_field(s, a, ", current ", "current");
	append_field(s, a, ", quorum ", "quorum");
	append_field(s, a, ", busy ", "busy");
	append_backends(s, json_object_get(a->document, "backends"));
	append_host_list(s, json_object_get(a->document, "host_list"));
	g_string_append_printf(s, ", answer %" G_GINT64_FORMAT " ms old",
			       a->age_us / 1000);
	return g_string_free(s, FALSE);
}

static void add_problem(json_t *problems, const struct bb_status_answer *a,
			const char *what)
{
	char *s = g_strdup_printf("%s %s", a->node, what);

	json_array_append_new(problems, json_string(s));
	g_free(s);
}

/* Compares the configuration version of each node with that of the first. */
static void check_versions(json_t *problems,
			   const struct bb_status_answer *answers, size_t nr)
{
	const struct bb_status_answer *first = NULL;
	json_int_t expected = 0;

	for (size_t i = 0; i < nr; i++) {
		json_t *v =
			json_object_get(answers[i].document, "config_version");
		char what[128];

		if (answers[i].error)
			continue;
		if (!json_is_integer(v)) {
			add_problem(problems, &answers[i],
				    "does not tell its configuration version");
			continue;
		}
		if (!first) {
			first = &answers[i];
			expected = json_integer_value(v);
			continue;
		}
		if (json_integer_value(v) == expected)
			continue;
		g_snprintf(what, sizeof(what),
			   "has version %" G_GINT64_FORMAT
			   ", but %s has %" G_GINT64_FORMAT,
			   (gint64)json_integer_value(v), first->node,
			   (gint64)expected);
		add_problem(problems, &answers[i], what);
	}
}

/* Rows that a node left out of its configuration, by the first of them. */
static void check_refused_rows(json_t *problems,
			       const struct bb_status_answer *a)
{
	json_t *rows = json_object_get(a->document, "refused_rows");
	const char *first = json_string_value(json_array_get(rows, 0));
	GString *what;

	if (!first)
		return;
	what = g_string_new(NULL);
	g_string_append_printf(what,
			       "left %zu rows out of its configuration, first ",
			       json_array_size(rows));
	append_text(what, first);
	add_problem(problems, a, what->str);
	g_string_free(what, TRUE);
}

json_t *bb_status_problems(const struct bb_status_answer *answers, size_t nr,
			   bool expect_automation_off)
{
	json_t *problems = json_array();

	for (size_t i = 0; i < nr; i++) {
		const struct bb_status_answer *a = &answers[i];

		if (a->error)
			add_problem(problems, a, "did not answer");
		else if (expect_automation_off &&
			 !json_is_false(
				 json_object_get(a->document, "automation")))
			add_problem(problems, a,
				    "does not have automation off");
		check_refused_rows(problems, a);
	}
	check_versions(problems, answers, nr);
	return problems;
}
