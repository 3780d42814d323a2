/* Fetches documents from the operator listeners of nodes. */
#ifndef BAOBABCTL_NODES_H
#define BAOBABCTL_NODES_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "baobabward/error.h"

/**
 * struct node_answer - answer of one node.
 * @node: IP:PORT
 * @status: HTTP status code, 0 if there was no answer
 * @error: why @document is NULL, else NULL
 * @document: JSON object
 * @finished_us: when the request was answered or failed, on the monotonic clock
 */
struct node_answer {
	char *node;
	long status;
	char *error;
	json_t *document;
	int64_t finished_us;
};

/* Values and definitions of the options that select nodes. */
extern gchar **node_flags;
extern gint node_timeout_ms;
extern const GOptionEntry node_entries[];

/**
 * nodes_fetch() - fetch a document from all nodes concurrently.
 * @path: path and query of the URL
 * @err: set on invalid options
 *
 * The nodes are those of --node, or else those of the environment variable
 * BAOBABWARD_NODES.
 *
 * Return: array of struct node_answer in the order given, or NULL if the
 * options are invalid.
 */
GArray *nodes_fetch(const char *path, struct bb_error *err);

#endif
