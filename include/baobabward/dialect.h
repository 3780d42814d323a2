/*
 * HTTP dialect of a deployment: names of the headers that a node exchanges with
 * callers and backend servers, and variants of its HTTP behaviour. The default
 * is baobabward's own interface; a deployment whose callers and backend servers
 * use other names supplies its own struct.
 *
 * A dialect is constant while a node uses it and may be read by any thread.
 */
#ifndef BAOBABWARD_DIALECT_H
#define BAOBABWARD_DIALECT_H

#include <stdbool.h>

#include "baobabward/notice.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct bb_dialect - header names, NULL for a header that is not used, and
 * variants of the behaviour.
 * @api_key: header with the API key of a caller; never passed on
 * @bearer_key: the key follows the word "Bearer"
 * @account: header with the client account: read from callers of internal
 *           routes, and sent to backend servers if @send_account is set
 * @send_account: backend servers receive the client account
 * @deadline: header with the milliseconds that the sender will wait, from
 *            callers and to backend servers
 * @request_id: header with the caller's identifier of the request; passed on,
 *              used in logs, and repeated in the backend server's answer;
 *              an answer without it, or with another one, is not passed on
 * @caller_service: header with the service on whose host the request began; set
 *                  by the node
 * @backend_id: header with the name of the backend server that a request is
 *              meant for; another one at its address answers 421 without
 *              running the request
 * @not_executed: header that marks a backend server's answer as a refusal: it
 *                did not run the request
 * @forward_host: backend servers receive the Host header of the caller
 * @close_ends_body: an answer without a length is complete when its connection
 *                   is closed, as RFC 9112 specifies; otherwise it counts as
 *                   truncated, because the close may be a crash
 * @fractional_retry_after: Retry-After may have a fraction
 * @not_run_as_503: a request that certainly did not run is answered with 503
 *                  where the status would be 502 or 504
 * @decode_notice: decodes what a backend server says of itself in an answer,
 *                 NULL if backend servers say nothing
 */
struct bb_dialect {
	const char *api_key;
	bool bearer_key;
	const char *account;
	bool send_account;
	const char *deadline;
	const char *request_id;
	const char *caller_service;
	const char *backend_id;
	const char *not_executed;
	bool forward_host;
	bool close_ends_body;
	bool fractional_retry_after;
	bool not_run_as_503;
	bb_notice_decode_fn *decode_notice;
};

/* baobabward's own interface. */
extern const struct bb_dialect bb_dialect_default;

#ifdef __cplusplus
}
#endif
#endif
