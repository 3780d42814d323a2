/* Subcommands status and explain. */
#include <stdio.h>
#include <string.h>

#include "baobabward/clock.h"
#include "command.h"
#include "libstatus/report.h"
#include "nodes.h"

static gboolean expect_automation_off;

static json_t *answer_json(const struct bb_status_answer *a)
{
	json_t *o = json_pack("{s:s, s:b, s:I}", "node", a->node, "answered",
			      !a->error, "age_ms",
			      (json_int_t)(a->age_us / BB_US_PER_MS));

	if (a->error)
		json_object_set_new(o, "error", json_string(a->error));
	else
		json_object_set(o, "status", a->document);
	return o;
}

static void print_answers(const struct bb_status_answer *answers, size_t nr,
			  json_t *problems)
{
	json_t *rows = json_array();
	json_t *problem;
	size_t i;

	if (json_output) {
		for (i = 0; i < nr; i++)
			json_array_append_new(rows, answer_json(&answers[i]));
		print_json(json_pack("{s:O, s:O}", "nodes", rows, "problems",
				     problems));
	} else {
		for (i = 0; i < nr; i++) {
			char *line = bb_status_line(&answers[i]);

			printf("%s\n", line);
			g_free(line);
		}
		json_array_foreach (problems, i, problem)
			printf("problem: %s\n", json_string_value(problem));
	}
	json_decref(rows);
}

int status(const struct command *command, int argc, char **argv)
{
	const GOptionEntry entries[] = {
		node_entries[0],
		node_entries[1],
		{ "expect-automation-off", 0, 0, G_OPTION_ARG_NONE,
		  &expect_automation_off,
		  "Fail unless each node has automation off", NULL },
		{ 0 }
	};
	struct bb_status_answer *answers;
	struct bb_error err = { 0 };
	json_t *problems;
	GArray *nodes;
	int rc;

	if (!parse_options(command, entries, &argc, &argv, 0, &rc))
		return rc;
	nodes = nodes_fetch("/status", &err);
	if (!nodes) {
		fail(&err);
		return EXIT_USAGE;
	}
	answers = g_new0(struct bb_status_answer, nodes->len);
	for (guint i = 0; i < nodes->len; i++) {
		const struct node_answer *n =
			&g_array_index(nodes, struct node_answer, i);

		answers[i].node = n->node;
		answers[i].error = n->error;
		answers[i].document = n->document;
		answers[i].age_us = bb_clock_now_us() - n->finished_us;
	}
	problems =
		bb_status_problems(answers, nodes->len, expect_automation_off);
	print_answers(answers, nodes->len, problems);
	rc = json_array_size(problems) ? EXIT_DIFFERENT : EXIT_OK;
	json_decref(problems);
	g_free(answers);
	g_array_unref(nodes);
	return rc;
}

static json_t *explain_json(const struct node_answer *n)
{
	json_t *o = json_pack("{s:s, s:b, s:b}", "node", n->node, "answered",
			      n->status != 0, "found", n->document != NULL);

	if (n->document)
		json_object_set(o, "document", n->document);
	else if (n->status != 404)
		json_object_set_new(o, "error", json_string(n->error));
	return o;
}

static void print_explained(const struct node_answer *n)
{
	const char *key;
	json_t *value;

	if (!n->document) {
		printf("%s: %s\n", n->node,
		       n->status == 404 ? "not known" : n->error);
		return;
	}
	printf("%s:\n", n->node);
	json_object_foreach (n->document, key, value) {
		char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);

		printf("  %-18s %s\n", key, text);
		free(text);
	}
}

static int print_all_explained(const GArray *nodes)
{
	json_t *rows = json_array();
	int rc = EXIT_DIFFERENT;

	for (guint i = 0; i < nodes->len; i++) {
		const struct node_answer *n =
			&g_array_index(nodes, struct node_answer, i);

		if (n->document)
			rc = EXIT_OK;
		if (json_output)
			json_array_append_new(rows, explain_json(n));
		else
			print_explained(n);
	}
	if (json_output)
		print_json(json_pack("{s:O}", "nodes", rows));
	json_decref(rows);
	return rc;
}

int explain(const struct command *command, int argc, char **argv)
{
	struct bb_error err = { 0 };
	char *value, *path;
	GArray *nodes;
	int rc;

	if (!parse_options(command, node_entries, &argc, &argv, 1, &rc))
		return rc;
	value = g_uri_escape_string(argv[1], NULL, FALSE);
	path = g_strdup_printf("/explain?%s=%s", command->name, value);
	nodes = nodes_fetch(path, &err);
	g_free(path);
	g_free(value);
	if (!nodes) {
		fail(&err);
		return EXIT_USAGE;
	}
	rc = print_all_explained(nodes);
	g_array_unref(nodes);
	return rc;
}
