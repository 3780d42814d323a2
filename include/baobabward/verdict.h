/*
 * Verdict on whether a request may have run on a backend server, and reasons
 * why a request was refused or failed.
 */
#ifndef BAOBABWARD_VERDICT_H
#define BAOBABWARD_VERDICT_H

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum bb_verdict - what is known about the execution of a request.
 * @BB_VERDICT_NOT_RUN: it certainly did not run and never will
 * @BB_VERDICT_RAN: the backend server answered it
 * @BB_VERDICT_MAY_HAVE_RUN: neither of the two is certain
 */
enum bb_verdict {
	BB_VERDICT_NOT_RUN,
	BB_VERDICT_RAN,
	BB_VERDICT_MAY_HAVE_RUN,
	BB_VERDICT_COUNT
};

/*
 * Values of the Baobabward-Verdict response header, indexed by enum bb_verdict.
 */
extern const char *const bb_verdict_string[];

/**
 * enum bb_reason - why a request was refused or failed.
 *
 * bb_reason_string gives the last part of the problem type and the label of the
 * refusal counter; bb_reason_status() gives the HTTP status code.
 */
enum bb_reason {
	BB_REASON_NONE,
	BB_REASON_BAD_REQUEST,
	BB_REASON_UNAUTHORIZED,
	BB_REASON_NO_ROUTE,
	BB_REASON_METHOD_NOT_ALLOWED,
	BB_REASON_BODY_TOO_LARGE,
	BB_REASON_HEADERS_TOO_LARGE,
	BB_REASON_RATE_LIMITED,
	BB_REASON_LIMIT_UNAVAILABLE,
	BB_REASON_NOT_CURRENT,
	BB_REASON_NO_BACKEND,
	BB_REASON_EJECTED,
	BB_REASON_LEAVING,
	BB_REASON_QUEUE_FULL,
	BB_REASON_DEADLINE,
	BB_REASON_CANCELLED,
	BB_REASON_STOPPING,
	BB_REASON_WRONG_INCARNATION,
	BB_REASON_DUPLICATE,
	BB_REASON_UNKNOWN_BACKEND,
	BB_REASON_BACKEND_CONNECT,
	BB_REASON_BACKEND_FAILED,
	BB_REASON_BACKEND_TRUNCATED,
	BB_REASON_PEER_SILENT,
	BB_REASON_KEY_IN_PROGRESS,
	BB_REASON_KEY_UNKNOWN_OUTCOME,
	BB_REASON_KEY_MISMATCH,
	BB_REASON_KEY_UNUSED,
	BB_REASON_RECORD_UNAVAILABLE,
	BB_REASON_INTERNAL,
	BB_REASON_BACKEND_REFUSED,
	BB_REASON_MISDIRECTED,
	BB_REASON_BODY_MEMORY,
	BB_REASON_PEER_LIMIT,
	BB_REASON_COUNT
};

/* Name of each reason, indexed by enum bb_reason. */
extern const char *const bb_reason_string[];

/**
 * bb_reason_status() - HTTP status code for a reason.
 * @reason: why the request was refused or failed
 *
 * Return: status code, 200 for BB_REASON_NONE.
 */
unsigned int bb_reason_status(enum bb_reason reason);

#ifdef __cplusplus
}
#endif
#endif
