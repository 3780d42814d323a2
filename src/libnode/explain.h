/*
 * JSON documents of /explain on the operator listener: what this node knows of
 * a request, a client account or a backend server.
 */
#ifndef BB_NODE_EXPLAIN_H
#define BB_NODE_EXPLAIN_H

#include "libnode/request_history.h"
#include "libnode/snapshot.h"

/**
 * bb_explain() - describe a request, a client account or a backend server.
 * @snapshot: configuration in force, may be NULL
 * @history: last refused and failed requests
 * @key: "request", "account" or "backend"; may be NULL
 * @value: request id or name; may be NULL
 *
 * Return: JSON text that the caller frees with free(), or NULL if there is no
 * such request, client account or backend server.
 */
char *bb_explain(const struct bb_snapshot *snapshot,
		 struct bb_request_history *history, const char *key,
		 const char *value);

#endif
