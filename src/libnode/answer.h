/*
 * HTTP responses to callers: responses of backend servers, and problem
 * documents for refusals and failures.
 */
#ifndef BB_NODE_ANSWER_H
#define BB_NODE_ANSWER_H

#include <microhttpd.h>
#include <stdbool.h>

#include "baobabward/dialect.h"
#include "libnode/call.h"
#include "libnode/request_history.h"

/* Memory of a connection of a caller: the head of a request, and of its response. */
#define BB_CONNECTION_MEMORY_BYTES (32u * 1024)

/**
 * bb_answer_queue() - queue the answer of a call on its connection.
 * @c: call with its answer set
 * @close: close the connection after the response
 * @dialect: names of headers
 * @history: list to which refusals and failures are added, may be NULL
 * @memory: accounting in which the call has a claim for the response; may be NULL
 *
 * A response whose head does not fit into the memory of the connection is replaced
 * by a failure with the verdict "ran".
 */
enum MHD_Result bb_answer_queue(struct bb_call *c, bool close,
				const struct bb_dialect *dialect,
				struct bb_request_history *history,
				struct bb_body_memory *memory);

/**
 * bb_answer_has_room() - whether a refusal of a call fits into the memory of its
 * connection, beside the head of the request.
 *
 * If not, only bb_answer_send_early() can answer it.
 */
bool bb_answer_has_room(const struct bb_call *c);

/**
 * bb_answer_send_early() - send a refusal before the body of its request is in.
 * @c: call with its refusal set
 * @fd: socket of the connection, on which nothing else waits to be sent
 * @dialect: names of headers
 * @history: list to which the refusal is added, may be NULL
 *
 * libmicrohttpd answers before the body or after it, and closes the connection in
 * the former case, whereupon a caller that still sends loses the answer to a reset
 * (RFC 9112, 9.6). This function writes the answer and closes the sending direction
 * only; the rest of the body has to be read and discarded.
 *
 * Return: false if the answer could not be written; this is logged.
 */
bool bb_answer_send_early(struct bb_call *c, int fd,
			  const struct bb_dialect *dialect,
			  struct bb_request_history *history);

#endif
