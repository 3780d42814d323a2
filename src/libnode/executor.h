/*
 * Sends requests to backend servers with libcurl on the main loop of a thread.
 *
 * libcurl re-sends a request by itself when a reused connection is closed
 * before the first byte of the response. A request that must run at most once is
 * ended instead, before it is sent again. It uses a kept connection only if that
 * was idle for a short time, within which the backend server has not forgotten
 * it; otherwise it gets a new one.
 *
 * A backend server in trouble may send bytes without end. A head, with interim
 * responses and trailers, and a body are read up to a limit, and the bodies of
 * all responses in progress share one; then the connection is closed.
 *
 * A connection is closed after a response to another request or to none: the
 * response to the one that was sent may still arrive on it. So is an idle
 * connection on which bytes arrived.
 *
 * After a time-out without a byte of response on a reused connection, idle
 * connections to the same backend server are closed by the rules of
 * connections.h.
 */
#ifndef BB_NODE_EXECUTOR_H
#define BB_NODE_EXECUTOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "baobabward/dialect.h"
#include "baobabward/error.h"
#include "baobabward/wire.h"

struct bb_executor;
struct bb_execution;

/*
 * Largest sum of the response bodies in progress. Over it, each that has more
 * than an even share is ended. Small enough for a process of 160 MB beside the
 * copies of a body that is passed on.
 */
#define BB_EXECUTOR_BODIES_MAX_BYTES ((size_t)2 * BB_BODY_MAX)

/**
 * enum bb_execution_end - how an execution ended.
 * @BB_EXECUTION_DONE: complete response received
 * @BB_EXECUTION_NOT_SENT: no byte of the request was sent
 * @BB_EXECUTION_TIMEOUT: timed out after at least a part of the request was
 *                        sent
 * @BB_EXECUTION_BROKEN: the connection failed before the end of the response
 *                       head, or the head exceeds the limit or has a status that
 *                       HTTP does not have
 * @BB_EXECUTION_TRUNCATED: the response head was received, but the end of the
 *                          body was not; also for a body of unknown length that
 *                          exceeds the limit
 * @BB_EXECUTION_TOO_LARGE: the response body has a length over the limit
 * @BB_EXECUTION_REFUSED: the response states that the request was not run
 * @BB_EXECUTION_MISDIRECTED: another backend server answers at the address
 * @BB_EXECUTION_FOREIGN: the response belongs to another request, or to none:
 *                        its head has another request id, or none although the
 *                        request has one
 */
enum bb_execution_end {
	BB_EXECUTION_DONE,
	BB_EXECUTION_NOT_SENT,
	BB_EXECUTION_TIMEOUT,
	BB_EXECUTION_BROKEN,
	BB_EXECUTION_TRUNCATED,
	BB_EXECUTION_TOO_LARGE,
	BB_EXECUTION_REFUSED,
	BB_EXECUTION_MISDIRECTED,
	BB_EXECUTION_FOREIGN,
	BB_EXECUTION_END_COUNT
};

extern const char *const bb_execution_end_string[];

/**
 * enum bb_body_end - what tells where the body of a response ends.
 * @BB_BODY_END_LENGTH: its Content-Length
 * @BB_BODY_END_FRAMED: its chunks, or a status or method without a body
 * @BB_BODY_END_CLOSE: the end of the connection
 */
enum bb_body_end {
	BB_BODY_END_LENGTH,
	BB_BODY_END_FRAMED,
	BB_BODY_END_CLOSE,
	BB_BODY_END_COUNT
};

extern const char *const bb_body_end_string[];

/**
 * struct bb_execution_request - what to send; bb_executor_start() copies all but
 * the body.
 * @url: http://IP:port of the backend server
 * @target: path and query
 * @method: HTTP method
 * @headers: headers to send
 * @headers_nr: number of @headers
 * @body: request body; stays valid until the execution is done or cancelled
 * @traceparent: value of the header of that name, empty to send none
 * @timeout_us: limit on the time of the whole exchange
 * @max_body: limit on the response body in bytes
 * @at_most_once: the request must not be sent twice
 * @reuse_us: longest time since the last answer on a connection that such a
 *            request uses; 0 for a new connection, which is not kept
 * @dialect: names of headers, NULL for the default
 * @backend_id: name of the backend server to send, NULL to send none
 * @long_poll: the answer may take long; a connection that went silent meanwhile
 *             is noticed by keepalive probes
 */
struct bb_execution_request {
	const char *url;
	struct bb_bytes target;
	struct bb_bytes method;
	const struct bb_header *headers;
	size_t headers_nr;
	struct bb_bytes body;
	struct bb_bytes traceparent;
	int64_t timeout_us;
	size_t max_body;
	bool at_most_once;
	int64_t reuse_us;
	const struct bb_dialect *dialect;
	const char *backend_id;
	bool long_poll;
};

/**
 * struct bb_execution_result - valid during the done callback.
 * @end: how it ended
 * @status: HTTP status code when the head was received, else 0
 * @headers: response headers without hop-by-hop headers
 * @headers_nr: number of @headers
 * @body: response body
 * @latency_us: time from start to end
 * @connect_refused: the connection was refused: nothing listens
 * @new_connection: a new connection was opened for the request
 * @local_port: port of this end of its connection, 0 if there was none
 * @body_end: what tells where the body ends
 * @opened_us: when its connection was opened, 0 if unknown
 * @closed_idle: number of idle connections to the backend server closed because
 *               they no longer work, see connections.h
 * @notice: what the backend server says of itself; nothing unless @end is
 *          BB_EXECUTION_DONE or BB_EXECUTION_REFUSED, since other answers may
 *          be damaged or of another backend server
 * @detail: why it failed, for the log
 */
struct bb_execution_result {
	enum bb_execution_end end;
	unsigned int status;
	struct bb_header *headers;
	size_t headers_nr;
	struct bb_bytes body;
	int64_t latency_us;
	bool connect_refused;
	bool new_connection;
	unsigned int local_port;
	enum bb_body_end body_end;
	int64_t opened_us;
	unsigned int closed_idle;
	struct bb_notice notice;
	const char *detail;
};

typedef void bb_execution_done(void *data, const struct bb_execution_result *r);

/**
 * bb_executor_new() - create an executor on the loop of a thread.
 * @context: main context of that thread
 * @err: set on failure
 */
struct bb_executor *bb_executor_new(GMainContext *context,
				    struct bb_error *err);

/**
 * bb_executor_start() - send a request.
 * @e: executor
 * @r: request
 * @done: called once, later, unless cancelled
 * @data: passed to @done
 * @err: set on failure
 *
 * Return: handle, valid until @done returns, or NULL if nothing was started.
 */
struct bb_execution *bb_executor_start(struct bb_executor *e,
				       const struct bb_execution_request *r,
				       bb_execution_done *done, void *data,
				       struct bb_error *err);

/**
 * bb_executor_cancel() - close the connection; @done is not called.
 * @x: execution in progress
 */
void bb_executor_cancel(struct bb_execution *x);

/**
 * bb_executor_cancel_timed_out() - cancel an execution that timed out.
 * @x: execution in progress
 *
 * Return: number of idle connections to the backend server closed because they
 * no longer work, see connections.h.
 */
unsigned int bb_executor_cancel_timed_out(struct bb_execution *x);

/**
 * bb_executor_delete() - cancel all executions and free the executor.
 */
void bb_executor_delete(struct bb_executor *e);

#endif
