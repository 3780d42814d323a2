/*
 * History of the last refused and failed requests of a node, for operators who
 * look up the request id of an answer. The number of entries is bounded. All
 * functions except the constructor and the destructor are thread-safe.
 *
 * Requests that ran or may have run have a ring buffer of their own, so that
 * many refusals, such as those for a wrong key, do not displace them.
 */
#ifndef BB_NODE_REQUEST_HISTORY_H
#define BB_NODE_REQUEST_HISTORY_H

#include <jansson.h>

#include "libnode/call.h"

struct bb_request_history;

/**
 * bb_request_history_new() - create an empty history.
 * @capacity: number of requests kept in each of the two ring buffers
 */
struct bb_request_history *bb_request_history_new(unsigned int capacity);

/**
 * bb_request_history_add() - record a call that was refused or has failed.
 * @h: history, may be NULL
 * @c: the call; nothing of its key, target, headers or body is stored
 */
void bb_request_history_add(struct bb_request_history *h,
			    const struct bb_call *c);

/**
 * bb_request_history_find() - look up a request.
 * @h: history
 * @id: request id
 *
 * Return: new JSON object, or NULL if the history does not have the request.
 */
json_t *bb_request_history_find(struct bb_request_history *h, const char *id);

/**
 * bb_request_history_count() - count a client account's requests by reason.
 * @h: history
 * @account: name of the client account
 *
 * Return: new JSON object with a number for each reason that occurs.
 */
json_t *bb_request_history_count(struct bb_request_history *h,
				 const char *account);

/**
 * bb_request_history_delete() - free a history.
 * @h: history, may be NULL
 */
void bb_request_history_delete(struct bb_request_history *h);

#endif
