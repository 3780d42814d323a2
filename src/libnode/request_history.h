/*
 * The last refused and failed requests of a node, for operators who have a
 * request id from a caller's answer. Bounded; safe from any thread.
 *
 * Requests that ran or may have run are kept apart, so that a flood of
 * refusals, such as of a wrong key, does not push them out.
 */
#ifndef BB_NODE_REQUEST_HISTORY_H
#define BB_NODE_REQUEST_HISTORY_H

#include <jansson.h>

#include "libnode/call.h"

struct bb_request_history;

/**
 * bb_request_history_new() - create an empty list.
 * @capacity: number of requests kept of each of the two kinds
 */
struct bb_request_history *bb_request_history_new(unsigned int capacity);

/**
 * bb_request_history_add() - note a call whose answer is a refusal or failure.
 * @r: list, may be NULL
 * @c: the call; nothing of its key, target, headers or body is kept
 */
void bb_request_history_add(struct bb_request_history *r,
			    const struct bb_call *c);

/**
 * bb_request_history_find() - look a request up.
 * @r: list
 * @id: request id
 *
 * Return: new JSON object, or NULL if it is not among the last ones.
 */
json_t *bb_request_history_find(struct bb_request_history *r, const char *id);

/**
 * bb_request_history_count() - count the kept requests of a client account.
 * @r: list
 * @account: name
 *
 * Return: new JSON object with a number for each reason that occurs.
 */
json_t *bb_request_history_count(struct bb_request_history *r,
				 const char *account);

/**
 * bb_request_history_delete() - free the list.
 * @r: list, may be NULL
 */
void bb_request_history_delete(struct bb_request_history *r);

#endif
