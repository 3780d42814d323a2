#include "libwire/wire_layout.h"

#include <assert.h>

/* Longest method, traceparent, content type and signature, in bytes. */
#define METHOD_MAX 32
#define TRACEPARENT_MAX 128
#define CONTENT_TYPE_MAX 256
#define SIGNATURE_MAX 128
/* Largest HTTP status code. */
#define STATUS_MAX 999

/* Initializers of struct bb_field for member @m of struct @t. */
#define OFFSET(type, member) offsetof(struct type, member)
#define F_U64(t, m)                                        \
	{                                                  \
#m, BB_FIELD_U64, 0, OFFSET(t, m), 0, NULL \
	}
#define F_I64(t, m)                                        \
	{                                                  \
#m, BB_FIELD_I64, 0, OFFSET(t, m), 0, NULL \
	}
#define F_BOOL(t, m)                                        \
	{                                                   \
#m, BB_FIELD_BOOL, 0, OFFSET(t, m), 0, NULL \
	}
#define F_U32_MAX(t, m, limit)                                 \
	{                                                      \
#m, BB_FIELD_U32, limit, OFFSET(t, m), 0, NULL \
	}
#define F_U32(t, m) F_U32_MAX(t, m, UINT32_MAX)
#define F_ENUM(t, m, count)                                     \
	{                                                       \
#m, BB_FIELD_ENUM, count, OFFSET(t, m), 0, NULL \
	}
#define F_BYTES(t, m, limit)                                     \
	{                                                        \
#m, BB_FIELD_BYTES, limit, OFFSET(t, m), 0, NULL \
	}
#define F_FIXED(t, m, size)                                     \
	{                                                       \
#m, BB_FIELD_FIXED, size, OFFSET(t, m), 0, NULL \
	}
#define F_STRUCT(t, m, layout)                                     \
	{                                                          \
#m, BB_FIELD_STRUCT, 0, OFFSET(t, m), 0, &(layout) \
	}
#define F_LIST(t, m, limit, layout)                                        \
	{                                                                  \
#m, BB_FIELD_LIST, limit, OFFSET(t, m), OFFSET(t, m##_nr), \
			&(layout)                                          \
	}
#define LAYOUT_CHECK(fields, type, check)                                 \
	{                                                                 \
		fields, sizeof(fields) / sizeof(*(fields)), sizeof(type), \
			check                                             \
	}
#define LAYOUT(fields, type) LAYOUT_CHECK(fields, type, NULL)

static const struct bb_field request_id_fields[] = {
	F_U64(bb_request_id, incarnation),
	F_U64(bb_request_id, sequence),
};
static const struct bb_layout request_id =
	LAYOUT(request_id_fields, struct bb_request_id);

static const struct bb_field load_fields[] = {
	F_U32(bb_load, in_flight), F_U32(bb_load, queued),
	F_U32(bb_load, slots),	   F_I64(bb_load, avoid_for_us),
	F_I64(bb_load, work_us),   F_U32(bb_load, speed_permille),
};
static const struct bb_layout load = LAYOUT(load_fields, struct bb_load);

static const struct bb_field backend_report_fields[] = {
	F_BYTES(bb_backend_report, backend, BB_NAME_MAX),
	F_U64(bb_backend_report, started_ms),
	F_STRUCT(bb_backend_report, load, load),
};
static const struct bb_layout backend_report =
	LAYOUT(backend_report_fields, struct bb_backend_report);

static const struct bb_field header_fields[] = {
	F_BYTES(bb_header, name, BB_HEADER_NAME_MAX),
	F_BYTES(bb_header, value, BB_HEADER_VALUE_MAX),
};
static const struct bb_layout header = LAYOUT(header_fields, struct bb_header);

static const struct bb_field outcome_fields[] = {
	F_ENUM(bb_outcome, verdict, BB_VERDICT_COUNT),
	F_U32_MAX(bb_outcome, status, STATUS_MAX),
	F_BYTES(bb_outcome, content_type, CONTENT_TYPE_MAX),
	F_BYTES(bb_outcome, body, BB_BODY_MAX),
};
static const struct bb_layout outcome =
	LAYOUT(outcome_fields, struct bb_outcome);

static const struct bb_field group_fields[] = {
	{ "group", BB_FIELD_U32, UINT32_MAX, 0, 0, NULL },
};
static const struct bb_layout group = LAYOUT(group_fields, uint32_t);

static const struct bb_field hello_fields[] = {
	F_U64(bb_message_hello, incarnation),
	F_U64(bb_message_hello, config_version),
	F_U64(bb_message_hello, nonce),
};

static const struct bb_field welcome_fields[] = {
	F_U64(bb_message_welcome, incarnation),
	F_U64(bb_message_welcome, config_version),
	F_U64(bb_message_welcome, nonce),
	F_I64(bb_message_welcome, receiver_clock_us),
	F_LIST(bb_message_welcome, reports, BB_REPORTS_MAX, backend_report),
};

static const struct bb_field backend_reports_fields[] = {
	F_U64(bb_message_backend_reports, incarnation),
	F_I64(bb_message_backend_reports, clock_us),
	F_LIST(bb_message_backend_reports, reports, BB_REPORTS_MAX,
	       backend_report),
};

static const struct bb_field execute_fields[] = {
	F_STRUCT(bb_message_execute, id, request_id),
	F_U64(bb_message_execute, receiver_incarnation),
	F_I64(bb_message_execute, not_after_us),
	F_U64(bb_message_execute, config_version),
	F_BOOL(bb_message_execute, idempotent),
	F_BOOL(bb_message_execute, last_resort),
	F_BOOL(bb_message_execute, may_wait),
	F_U32(bb_message_execute, limit_milli),
	F_I64(bb_message_execute, cost_us),
	F_BYTES(bb_message_execute, backend, BB_NAME_MAX),
	F_BYTES(bb_message_execute, account, BB_NAME_MAX),
	F_BYTES(bb_message_execute, route, BB_NAME_MAX),
	F_BYTES(bb_message_execute, method, METHOD_MAX),
	F_BYTES(bb_message_execute, target, BB_TARGET_MAX),
	F_BYTES(bb_message_execute, traceparent, TRACEPARENT_MAX),
	F_LIST(bb_message_execute, headers, BB_HEADERS_MAX, header),
	F_BYTES(bb_message_execute, body, BB_BODY_MAX),
};

static const struct bb_layout execute =
	LAYOUT(execute_fields, struct bb_message_execute);

static const struct bb_field execute_large_fields[] = {
	F_STRUCT(bb_message_execute_large, execute, execute),
	F_U32_MAX(bb_message_execute_large, body_bytes, BB_REQUEST_BODY_MAX),
};

static bool body_is_elsewhere(const void *data)
{
	const struct bb_message_execute_large *x = data;

	return !x->execute.body.size && x->body_bytes > BB_BODY_MAX;
}

static const struct bb_field body_read_fields[] = {
	F_STRUCT(bb_message_body_read, id, request_id),
	F_U64(bb_message_body_read, receiver_incarnation),
	F_U32_MAX(bb_message_body_read, offset, BB_REQUEST_BODY_MAX),
	F_U32_MAX(bb_message_body_read, size, BB_BODY_PART_MAX),
};

static const struct bb_field body_part_fields[] = {
	F_STRUCT(bb_message_body_part, id, request_id),
	F_U64(bb_message_body_part, receiver_incarnation),
	F_U32_MAX(bb_message_body_part, offset, BB_REQUEST_BODY_MAX),
	F_BYTES(bb_message_body_part, bytes, BB_BODY_PART_MAX),
};

static const struct bb_field result_fields[] = {
	F_STRUCT(bb_message_result, id, request_id),
	F_U64(bb_message_result, receiver_incarnation),
	F_ENUM(bb_message_result, verdict, BB_VERDICT_COUNT),
	F_ENUM(bb_message_result, reason, BB_REASON_COUNT),
	F_U32_MAX(bb_message_result, status, STATUS_MAX),
	F_STRUCT(bb_message_result, load, load),
	F_I64(bb_message_result, service_us),
	F_LIST(bb_message_result, headers, BB_HEADERS_MAX, header),
	F_BYTES(bb_message_result, body, BB_BODY_MAX),
};

static const struct bb_field cancel_fields[] = {
	F_STRUCT(bb_message_cancel, id, request_id),
	F_U64(bb_message_cancel, receiver_incarnation),
	F_I64(bb_message_cancel, not_after_us),
};

static const struct bb_field digest_request_fields[] = {
	F_U64(bb_message_digest_request, incarnation),
	F_U64(bb_message_digest_request, config_version),
	F_U64(bb_message_digest_request, nonce),
	F_U32_MAX(bb_message_digest_request, max_entries, BB_LIST_MAX),
};

/* Whether the bitmaps and the ages of a section match. */
static bool is_section_consistent(const void *data)
{
	const struct bb_digest_section *b = data;
	size_t set = 0;

	if (b->first_seat % 8 ||
	    b->first_seat + 8 * b->seats.size > BB_LIST_MAX ||
	    b->stopping.size > b->seats.size)
		return false;
	for (size_t i = 0; i < b->seats.size; i++)
		set += (size_t)__builtin_popcount(
			(unsigned char)b->seats.data[i]);
	for (size_t i = 0; i < b->stopping.size; i++) {
		if (b->stopping.data[i] & ~b->seats.data[i])
			return false;
	}
	return set == b->ages.size;
}

static const struct bb_field section_fields[] = {
	F_U64(bb_digest_section, config_version),
	F_U32_MAX(bb_digest_section, first_seat, BB_LIST_MAX),
	F_BYTES(bb_digest_section, seats, BB_LIST_MAX / 8),
	F_BYTES(bb_digest_section, ages, BB_LIST_MAX),
	F_BYTES(bb_digest_section, stopping, BB_LIST_MAX / 8),
};
static const struct bb_layout section = LAYOUT_CHECK(
	section_fields, struct bb_digest_section, is_section_consistent);

static const struct bb_field digest_fields[] = {
	F_U64(bb_message_digest, incarnation),
	F_U64(bb_message_digest, config_version),
	F_U64(bb_message_digest, nonce),
	F_U64(bb_message_digest, seats_hash),
	F_BOOL(bb_message_digest, stopping),
	F_LIST(bb_message_digest, sections, BB_DIGEST_SECTIONS_MAX, section),
	F_U64(bb_message_digest, candidate_version),
};

static const struct bb_field page_request_fields[] = {
	F_U64(bb_message_page_request, config_version),
	F_BYTES(bb_message_page_request, name, BB_NAME_MAX),
};

static const struct bb_field page_fields[] = {
	F_U64(bb_message_page, config_version),
	F_BYTES(bb_message_page, name, BB_NAME_MAX),
	F_BYTES(bb_message_page, content, BB_PAGE_MAX),
	F_BYTES(bb_message_page, signature, SIGNATURE_MAX),
};

static const struct bb_field lease_request_fields[] = {
	F_U64(bb_message_lease_request, incarnation),
	F_U64(bb_message_lease_request, config_version),
	F_U64(bb_message_lease_request, nonce),
	F_LIST(bb_message_lease_request, groups, BB_LIST_MAX, group),
};

static const struct bb_field lease_item_fields[] = {
	F_U32(bb_lease_grant, group),
	F_U32(bb_lease_grant, term_ms),
	F_U32(bb_lease_grant, seats),
	F_BOOL(bb_lease_grant, continuous),
};
static const struct bb_layout lease_item =
	LAYOUT(lease_item_fields, struct bb_lease_grant);

static const struct bb_field lease_grant_fields[] = {
	F_U64(bb_message_lease_grant, incarnation),
	F_U64(bb_message_lease_grant, config_version),
	F_U64(bb_message_lease_grant, nonce),
	F_LIST(bb_message_lease_grant, grants, BB_LIST_MAX, lease_item),
};

static const struct bb_field lease_release_fields[] = {
	F_U64(bb_message_lease_release, incarnation),
	F_U64(bb_message_lease_release, nonce),
	F_LIST(bb_message_lease_release, groups, BB_LIST_MAX, group),
};

static const struct bb_field draw_item_fields[] = {
	F_BYTES(bb_draw, account, BB_NAME_MAX),
	F_U32(bb_draw, wanted),
	F_U32(bb_draw, held),
	F_U32(bb_draw, returned),
	F_U32(bb_draw, valid_ms),
};
static const struct bb_layout draw_item =
	LAYOUT(draw_item_fields, struct bb_draw);

static const struct bb_field draw_fields[] = {
	F_U64(bb_message_draw, incarnation),
	F_U64(bb_message_draw, nonce),
	F_LIST(bb_message_draw, draws, BB_LIST_MAX, draw_item),
};

static const struct bb_field draw_grant_item_fields[] = {
	F_U32(bb_draw_grant, granted),
	F_U32(bb_draw_grant, valid_ms),
	F_U32(bb_draw_grant, retry_ms),
};
static const struct bb_layout draw_grant_item =
	LAYOUT(draw_grant_item_fields, struct bb_draw_grant);

static const struct bb_field draw_grant_fields[] = {
	F_U64(bb_message_draw_grant, incarnation),
	F_U64(bb_message_draw_grant, nonce),
	F_LIST(bb_message_draw_grant, grants, BB_LIST_MAX, draw_grant_item),
};

static const struct bb_field permit_request_fields[] = {
	F_U64(bb_message_permit_request, incarnation),
	F_U64(bb_message_permit_request, nonce),
	F_BYTES(bb_message_permit_request, service, BB_NAME_MAX),
	F_BYTES(bb_message_permit_request, backend, BB_NAME_MAX),
	F_BOOL(bb_message_permit_request, release),
};

static const struct bb_field permit_grant_fields[] = {
	F_U64(bb_message_permit_grant, incarnation),
	F_U64(bb_message_permit_grant, nonce),
	F_BYTES(bb_message_permit_grant, service, BB_NAME_MAX),
	F_BYTES(bb_message_permit_grant, backend, BB_NAME_MAX),
	F_U32(bb_message_permit_grant, term_ms),
};

static const struct bb_field record_fields[] = {
	F_U64(bb_message_record, nonce),
	F_STRUCT(bb_message_record, id, request_id),
	F_ENUM(bb_message_record, action, BB_RECORD_ACTION_COUNT),
	F_U32(bb_message_record, group),
	F_U64(bb_message_record, account_hash),
	F_U32(bb_message_record, timeout_ms),
	F_FIXED(bb_message_record, key_hash, 32),
	F_U64(bb_message_record, fingerprint),
	F_STRUCT(bb_message_record, outcome, outcome),
};

static const struct bb_field record_reply_fields[] = {
	F_U64(bb_message_record_reply, nonce),
	F_STRUCT(bb_message_record_reply, id, request_id),
	F_ENUM(bb_message_record_reply, state, BB_RECORD_STATE_COUNT),
	F_STRUCT(bb_message_record_reply, outcome, outcome),
};

static const struct bb_field record_entry_fields[] = {
	F_FIXED(bb_record_entry, key_hash, 32),
	F_STRUCT(bb_record_entry, id, request_id),
	F_U64(bb_record_entry, account_hash),
	F_U64(bb_record_entry, fingerprint),
	F_U32(bb_record_entry, age_ms),
	F_ENUM(bb_record_entry, state, BB_RECORD_STATE_COUNT),
	F_STRUCT(bb_record_entry, outcome, outcome),
};
static const struct bb_layout record_entry =
	LAYOUT(record_entry_fields, struct bb_record_entry);

static const struct bb_field record_transfer_fields[] = {
	F_U64(bb_message_record_transfer, incarnation),
	F_ENUM(bb_message_record_transfer, kind, BB_TRANSFER_KIND_COUNT),
	F_U64(bb_message_record_transfer, nonce),
	F_U32(bb_message_record_transfer, group),
	F_U32(bb_message_record_transfer, part),
	F_U32(bb_message_record_transfer, covered_ms),
	F_BOOL(bb_message_record_transfer, complete),
	F_LIST(bb_message_record_transfer, entries, BB_LIST_MAX, record_entry),
};

static const struct bb_field summary_request_fields[] = {
	F_BYTES(bb_message_summary_request, backend, BB_NAME_MAX),
};

static const struct bb_field summary_item_fields[] = {
	F_BYTES(bb_summary_item, backend, BB_NAME_MAX),
	F_U32(bb_summary_item, class_id),
	F_U32(bb_summary_item, samples),
	F_U32(bb_summary_item, error_permille),
	F_U32(bb_summary_item, median_us),
	F_U32(bb_summary_item, spread_us),
	F_U32(bb_summary_item, recent_age_ms),
};
static const struct bb_layout summary_item =
	LAYOUT(summary_item_fields, struct bb_summary_item);

static const struct bb_field summary_fields[] = {
	F_LIST(bb_message_summary, items, BB_LIST_MAX, summary_item),
};

static const struct bb_field registry_read_fields[] = {
	F_U64(bb_message_registry_read, nonce),
	F_I64(bb_message_registry_read, era),
	F_U64(bb_message_registry_read, after),
	F_U32(bb_message_registry_read, wait_ms),
};

static const struct bb_field registry_item_fields[] = {
	F_BYTES(bb_registry_item, key, BB_REGISTRY_KEY_MAX),
	F_BYTES(bb_registry_item, value, BB_REGISTRY_VALUE_MAX),
	F_U64(bb_registry_item, revision),
	F_BOOL(bb_registry_item, removed),
};
static const struct bb_layout registry_item =
	LAYOUT(registry_item_fields, struct bb_registry_item);

static const struct bb_field registry_changes_fields[] = {
	F_U64(bb_message_registry_changes, nonce),
	F_ENUM(bb_message_registry_changes, answer, BB_REGISTRY_ANSWER_COUNT),
	F_I64(bb_message_registry_changes, era),
	F_U64(bb_message_registry_changes, revision),
	F_U32(bb_message_registry_changes, age_ms),
	F_LIST(bb_message_registry_changes, items, BB_LIST_MAX, registry_item),
};

/* In the order of enum bb_message_type. */
const struct bb_layout bb_wire_layouts[] = {
	LAYOUT(hello_fields, struct bb_message_hello),
	LAYOUT(welcome_fields, struct bb_message_welcome),
	LAYOUT(execute_fields, struct bb_message_execute),
	LAYOUT(result_fields, struct bb_message_result),
	LAYOUT(cancel_fields, struct bb_message_cancel),
	LAYOUT(digest_request_fields, struct bb_message_digest_request),
	LAYOUT(digest_fields, struct bb_message_digest),
	LAYOUT(page_request_fields, struct bb_message_page_request),
	LAYOUT(page_fields, struct bb_message_page),
	LAYOUT(lease_request_fields, struct bb_message_lease_request),
	LAYOUT(lease_grant_fields, struct bb_message_lease_grant),
	LAYOUT(lease_release_fields, struct bb_message_lease_release),
	LAYOUT(draw_fields, struct bb_message_draw),
	LAYOUT(draw_grant_fields, struct bb_message_draw_grant),
	LAYOUT(permit_request_fields, struct bb_message_permit_request),
	LAYOUT(permit_grant_fields, struct bb_message_permit_grant),
	LAYOUT(record_fields, struct bb_message_record),
	LAYOUT(record_reply_fields, struct bb_message_record_reply),
	LAYOUT(record_transfer_fields, struct bb_message_record_transfer),
	LAYOUT(summary_request_fields, struct bb_message_summary_request),
	LAYOUT(summary_fields, struct bb_message_summary),
	LAYOUT(registry_read_fields, struct bb_message_registry_read),
	LAYOUT(registry_changes_fields, struct bb_message_registry_changes),
	LAYOUT(backend_reports_fields, struct bb_message_backend_reports),
	LAYOUT_CHECK(execute_large_fields, struct bb_message_execute_large,
		     body_is_elsewhere),
	LAYOUT(body_read_fields, struct bb_message_body_read),
	LAYOUT(body_part_fields, struct bb_message_body_part),
};

static_assert(sizeof(bb_wire_layouts) / sizeof(*bb_wire_layouts) ==
		      BB_MESSAGE_TYPE_COUNT,
	      "bb_wire_layouts must have a layout for each message type");

const char *const bb_message_type_string[] = {
	"hello",
	"welcome",
	"execute",
	"result",
	"cancel",
	"digest-request",
	"digest",
	"page-request",
	"page",
	"lease-request",
	"lease-grant",
	"lease-release",
	"draw",
	"draw-grant",
	"permit-request",
	"permit-grant",
	"record",
	"record-reply",
	"record-transfer",
	"summary-request",
	"summary",
	"registry-read",
	"registry-changes",
	"backend-reports",
	"execute-large",
	"body-read",
	"body-part",
};

static_assert(sizeof(bb_message_type_string) /
			      sizeof(*bb_message_type_string) ==
		      BB_MESSAGE_TYPE_COUNT,
	      "bb_message_type_string must have a name for each message type");

const char *const bb_registry_answer_string[] = {
	"changes", "stale", "other-era", "behind", "history",
};

static_assert(sizeof(bb_registry_answer_string) /
			      sizeof(*bb_registry_answer_string) ==
		      BB_REGISTRY_ANSWER_COUNT,
	      "bb_registry_answer_string must have a name for each answer");
