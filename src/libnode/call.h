/*
 * A caller's request at its entry node.
 *
 * The front creates a call and fills in the request. bb_entry_submit() passes
 * ownership to the traffic thread, which fills in the answer and hands the call
 * back. The front then owns it again and resumes the connection.
 */
#ifndef BB_NODE_CALL_H
#define BB_NODE_CALL_H

#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "baobabward/body_memory.h"
#include "baobabward/verdict.h"
#include "baobabward/wire.h"
#include "libnode/snapshot.h"

/* Size of a request id in bytes, with the terminating zero. */
#define BB_REQUEST_ID_SIZE 37

/**
 * struct bb_answer - answer to the caller.
 * @status: HTTP status code
 * @verdict: whether the request may have run
 * @reason: BB_REASON_NONE for a backend server's own response
 * @retry_after_ms: for the header Retry-After, 0 for none
 * @headers: response headers
 * @body: response body
 * @replayed: stored outcome of an earlier request with the same idempotency
 *            key
 */
struct bb_answer {
	unsigned int status;
	enum bb_verdict verdict;
	enum bb_reason reason;
	uint32_t retry_after_ms;
	GArray *headers;
	GByteArray *body;
	bool replayed;
};

/**
 * enum bb_call_state - progress of a call.
 */
enum bb_call_state {
	BB_CALL_RECEIVING,
	BB_CALL_ADMITTING,
	BB_CALL_RECORDING,
	BB_CALL_EXECUTING,
	BB_CALL_STORING,
	BB_CALL_ANSWERED,
	BB_CALL_STATE_COUNT
};

/**
 * struct bb_call - a caller's request.
 * @connection: connection of the caller
 * @snapshot: configuration that the handles refer to
 * @route: handle of its route, or BB_NO_ROW
 * @account: handle of its client account, or BB_NO_ROW
 * @service: handle of its service, one of those of the route
 * @id: request id in logs, traces and the response, unique in the fleet
 * @sequence: number of the call at this node
 * @arrived_us: when it arrived
 * @deadline_us: end of the timeout of its route, or earlier if the caller asks
 *               for it; 0 before it is set
 * @traceparent: header value of the caller, or NULL
 * @body: complete request body, empty before
 * @upload: body as far as it was received
 * @upload_size: bytes received
 * @upload_capacity: size of the buffer @upload
 * @declared_size: Content-Length, 0 for none
 * @memory: claim on memory for the body, then for the response
 * @received_bytes: bytes of the body that were received, also those discarded
 * @discarded_bytes: bytes of the body of a refused request that were discarded
 * @discard_until_us: time until which to discard it
 * @answered_early: the refusal was sent before the body was in; atomic
 * @whole: the body was received to its end
 * @answer_queued: the answer was handed to libmicrohttpd
 * @lookup_only: the caller only asks for the outcome of an idempotency key
 * @idempotency_key_hash: hash of account, route and key, if
 *                        @has_idempotency_key
 * @fingerprint: hash of method, target and body; a repeat with the same
 *               idempotency key must have the same
 * @attempts: attempts while the entry side owns the call, else NULL
 * @attempts_nr: number of attempts so far
 * @backend: name of the backend server of the last attempt, or NULL
 */
struct bb_call {
	struct MHD_Connection *connection;
	struct bb_snapshot *snapshot;
	uint32_t route;
	uint32_t account;
	uint32_t service;
	char id[BB_REQUEST_ID_SIZE];
	uint64_t sequence;
	enum bb_call_state state;
	int64_t arrived_us;
	int64_t deadline_us;
	char *method;
	char *target;
	char *traceparent;
	GArray *headers;
	GByteArray *body;
	uint8_t *upload;
	size_t upload_size;
	size_t upload_capacity;
	uint64_t declared_size;
	struct bb_body_claim memory;
	uint64_t received_bytes;
	size_t discarded_bytes;
	int64_t discard_until_us;
	int answered_early;
	bool whole;
	bool answer_queued;
	bool has_idempotency_key;
	bool lookup_only;
	uint8_t idempotency_key_hash[32];
	uint64_t fingerprint;
	struct bb_answer answer;
	struct bb_attempts *attempts;
	uint32_t attempts_nr;
	char *backend;
};

/**
 * bb_call_new() - create a call that holds a reference to @snapshot.
 */
struct bb_call *bb_call_new(struct MHD_Connection *connection,
			    struct bb_snapshot *snapshot);

/**
 * bb_call_add_header() - copy a request header into the call.
 */
void bb_call_add_header(struct bb_call *c, const char *name, size_t name_size,
			const char *value, size_t value_size);

/**
 * bb_call_route() - the route of a call.
 */
const struct bb_route *bb_call_route(const struct bb_call *c);

/**
 * bb_call_account() - the client account of a call.
 */
const struct bb_account *bb_call_account(const struct bb_call *c);

/**
 * bb_call_account_name() - name of the client account, empty if there is none.
 */
const char *bb_call_account_name(const struct bb_call *c);

/**
 * bb_call_refuse() - set the answer to a refusal or failure.
 * @c: call
 * @verdict: whether the request may have run
 * @reason: determines the status code and the problem type
 * @retry_after_ms: for the header Retry-After, 0 for none
 */
void bb_call_refuse(struct bb_call *c, enum bb_verdict verdict,
		    enum bb_reason reason, uint32_t retry_after_ms);

/**
 * bb_call_answer() - set the answer to a copy of a backend server's response.
 */
void bb_call_answer(struct bb_call *c, unsigned int status,
		    const struct bb_header *headers, size_t headers_nr,
		    const struct bb_bytes *body);

/**
 * bb_call_free_upload() - free what was received of an incomplete body.
 */
void bb_call_free_upload(struct bb_call *c);

/**
 * bb_call_free_body() - free the request body; it is empty then.
 */
void bb_call_free_body(struct bb_call *c);

/**
 * bb_call_complete_body() - make what was received the body.
 */
void bb_call_complete_body(struct bb_call *c);

/**
 * bb_call_delete() - free a call.
 * @c: call, may be NULL
 */
void bb_call_delete(struct bb_call *c);

#endif
