/*
 * A caller's request at its entry node.
 *
 * The front creates a call and fills in the request. bb_entry_submit() hands
 * it to the traffic thread, which fills in the answer and resumes the
 * connection; from then on the front owns it again.
 */
#ifndef BB_NODE_CALL_H
#define BB_NODE_CALL_H

#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "baobabward/verdict.h"
#include "baobabward/wire.h"
#include "libnode/snapshot.h"

#define BB_REQUEST_ID_SIZE 37

/**
 * struct bb_answer - what the caller is told.
 * @status: HTTP status code
 * @verdict: whether the request may have run
 * @reason: BB_REASON_NONE for a backend server's own response
 * @retry_after_ms: for Retry-After, 0 for none
 * @headers: response headers
 * @body: response body
 * @replayed: stored outcome of an earlier request with the same key
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
 * enum bb_call_state - where a call stands.
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
 * @id: text in logs, traces and the response, unique over the fleet
 * @service: handle of the service that gets it, one of the route's
 * @sequence: number of the call at this node
 * @deadline_us: end of the route's timeout
 * @idempotency_key_hash: hash of account, route and key, when @has_idempotency_key
 * @discarded_bytes: bytes of the body of a refused request
 * @attempts_nr: backend servers chosen for it so far
 * @backend: name of the last of them, or NULL
 * @lookup_only: the caller asks for the outcome of a key
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
	size_t discarded_bytes;
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
 * bb_call_account_name() - its name, empty without a client account.
 */
const char *bb_call_account_name(const struct bb_call *c);

/**
 * bb_call_refuse() - set the answer to a refusal or failure.
 * @c: call
 * @verdict: whether the request may have run
 * @reason: decides the status code and the problem type
 * @retry_after_ms: for Retry-After, 0 for none
 */
void bb_call_refuse(struct bb_call *c, enum bb_verdict verdict,
		    enum bb_reason reason, uint32_t retry_after_ms);

/**
 * bb_call_answer() - set the answer to a backend server's response; copies.
 */
void bb_call_answer(struct bb_call *c, unsigned int status,
		    const struct bb_header *headers, size_t headers_nr,
		    const struct bb_bytes *body);

/**
 * bb_call_delete() - free a call.
 * @c: call, may be NULL
 */
void bb_call_delete(struct bb_call *c);

#endif
