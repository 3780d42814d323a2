#include "baobabward/verdict.h"

#include <assert.h>

const char *const bb_verdict_string[] = { "not-run", "ran", "may-have-run" };

static_assert(sizeof(bb_verdict_string) / sizeof(*bb_verdict_string) ==
		      BB_VERDICT_COUNT,
	      "bb_verdict_string must have a name for each verdict");

/* HTTP status code of each reason, in the order of enum bb_reason. */
static const struct {
	unsigned int status;
	enum bb_reason reason;
} reason_status[] = {
	{ 200, BB_REASON_NONE },
	{ 400, BB_REASON_BAD_REQUEST },
	{ 401, BB_REASON_UNAUTHORIZED },
	{ 404, BB_REASON_NO_ROUTE },
	{ 405, BB_REASON_METHOD_NOT_ALLOWED },
	{ 413, BB_REASON_BODY_TOO_LARGE },
	{ 431, BB_REASON_HEADERS_TOO_LARGE },
	{ 429, BB_REASON_RATE_LIMITED },
	{ 503, BB_REASON_LIMIT_UNAVAILABLE },
	{ 503, BB_REASON_NOT_CURRENT },
	{ 503, BB_REASON_NO_BACKEND },
	{ 503, BB_REASON_EJECTED },
	{ 503, BB_REASON_LEAVING },
	{ 503, BB_REASON_QUEUE_FULL },
	{ 504, BB_REASON_DEADLINE },
	{ 503, BB_REASON_CANCELLED },
	{ 503, BB_REASON_STOPPING },
	{ 502, BB_REASON_WRONG_INCARNATION },
	{ 502, BB_REASON_DUPLICATE },
	{ 503, BB_REASON_UNKNOWN_BACKEND },
	{ 502, BB_REASON_BACKEND_CONNECT },
	{ 502, BB_REASON_BACKEND_FAILED },
	{ 502, BB_REASON_BACKEND_TRUNCATED },
	{ 504, BB_REASON_PEER_SILENT },
	{ 409, BB_REASON_KEY_IN_PROGRESS },
	{ 409, BB_REASON_KEY_UNKNOWN_OUTCOME },
	{ 422, BB_REASON_KEY_MISMATCH },
	{ 404, BB_REASON_KEY_UNUSED },
	{ 503, BB_REASON_RECORD_UNAVAILABLE },
	{ 500, BB_REASON_INTERNAL },
	{ 503, BB_REASON_BACKEND_REFUSED },
	{ 503, BB_REASON_MISDIRECTED },
	{ 503, BB_REASON_BODY_MEMORY },
	{ 503, BB_REASON_PEER_LIMIT },
};

static_assert(sizeof(reason_status) / sizeof(*reason_status) == BB_REASON_COUNT,
	      "reason_status must have a row for each reason");

const char *const bb_reason_string[] = {
	"none",
	"bad-request",
	"unauthorized",
	"no-route",
	"method-not-allowed",
	"body-too-large",
	"headers-too-large",
	"rate-limited",
	"limit-unavailable",
	"not-current",
	"no-backend-server",
	"ejected",
	"leaving",
	"queue-full",
	"deadline",
	"cancelled",
	"stopping",
	"wrong-incarnation",
	"duplicate",
	"unknown-backend-server",
	"backend-server-connect",
	"backend-server-failed",
	"backend-server-truncated",
	"peer-silent",
	"key-in-progress",
	"key-unknown-outcome",
	"key-mismatch",
	"key-unused",
	"record-unavailable",
	"internal",
	"backend-server-refused",
	"misdirected",
	"body-memory",
	"peer-limit",
};

static_assert(sizeof(bb_reason_string) / sizeof(*bb_reason_string) ==
		      BB_REASON_COUNT,
	      "bb_reason_string must have a name for each reason");

unsigned int bb_reason_status(enum bb_reason reason)
{
	if ((unsigned int)reason >= BB_REASON_COUNT)
		return 500;
	return reason_status[reason].status;
}
