/*
 * Sends requests to backend servers with libcurl on the traffic thread's
 * loop.
 *
 * libcurl re-sends a request by itself when a reused connection is closed
 * before the first byte of the response. A request that must run at most once
 * therefore gets a new connection, on which libcurl never re-sends.
 *
 * After a request on a reused connection got no byte in time, idle connections
 * to the same backend server are closed as connections.h says.
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

/**
 * enum bb_execution_end - how an execution ended.
 * @BB_EXECUTION_DONE: complete response
 * @BB_EXECUTION_NOT_SENT: no byte of the request was sent
 * @BB_EXECUTION_TIMEOUT: the time was up after the request was sent
 * @BB_EXECUTION_BROKEN: the connection failed before the response head
 * @BB_EXECUTION_TRUNCATED: the response head came, the body did not end
 * @BB_EXECUTION_TOO_LARGE: the response body exceeds the bound
 * @BB_EXECUTION_REFUSED: the backend server said that it did not run it
 * @BB_EXECUTION_MISDIRECTED: another backend server has the address
 * @BB_EXECUTION_FOREIGN: the response belongs to another request
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
 * struct bb_execution_request - what to send; copied by bb_executor_start().
 * @url: http://IP:port of the backend server
 * @target: path and query
 * @method: HTTP method
 * @headers: headers to send
 * @headers_nr: number of @headers
 * @body: request body
 * @traceparent: header value, empty to send none
 * @timeout_us: time for the whole exchange
 * @max_body: bound on the response body in bytes
 * @at_most_once: use a new connection
 * @dialect: names of headers, NULL for the default
 * @backend_id: name of the backend server, NULL not to send it
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
	const struct bb_dialect *dialect;
	const char *backend_id;
	bool long_poll;
};

/**
 * struct bb_execution_result - valid during the done callback.
 * @end: how it ended
 * @status: HTTP status code when the head was received, else 0
 * @headers: response headers without those of the connection
 * @headers_nr: number of @headers
 * @body: response body
 * @latency_us: time from start to end
 * @new_connection: a connection was opened for it
 * @opened_us: when its connection was opened, 0 if unknown
 * @closed_idle: idle connections to the backend server closed because they had
 *               gone silent
 * @detail: libcurl's error text
 */
struct bb_execution_result {
	enum bb_execution_end end;
	unsigned int status;
	struct bb_header *headers;
	size_t headers_nr;
	struct bb_bytes body;
	int64_t latency_us;
	bool new_connection;
	int64_t opened_us;
	unsigned int closed_idle;
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
 * bb_executor_cancel_timed_out() - cancel because the time was up.
 * @x: execution in progress
 *
 * Return: idle connections to the backend server closed because they had gone
 * silent.
 */
unsigned int bb_executor_cancel_timed_out(struct bb_execution *x);

/**
 * bb_executor_delete() - cancel what is running and free.
 */
void bb_executor_delete(struct bb_executor *e);

#endif
