/* Parses and formats traceparent values of W3C Trace Context. */
#include "baobabward/trace.h"

#include <string.h>

#define VERSION_SIZE 2
#define TRACE_ID_OFFSET 3
#define SPAN_ID_OFFSET 36
#define FLAGS_OFFSET 53
/* Length of a value of version 00; later versions may append fields. */
#define TEXT_SIZE (BB_TRACEPARENT_SIZE - 1)
#define FLAG_SAMPLED 0x01

/* W3C Trace Context allows lower-case digits only. */
static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

static bool parse_hex(const char *text, uint8_t *bytes, size_t size)
{
	for (size_t i = 0; i < size; i++) {
		int high = hex_digit(text[2 * i]);
		int low = hex_digit(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		bytes[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

static char *format_hex(char *text, const uint8_t *bytes, size_t size)
{
	static const char digits[] = "0123456789abcdef";

	for (size_t i = 0; i < size; i++) {
		*text++ = digits[bytes[i] >> 4];
		*text++ = digits[bytes[i] & 15];
	}
	return text;
}

static bool is_zero(const uint8_t *bytes, size_t size)
{
	for (size_t i = 0; i < size; i++)
		if (bytes[i])
			return false;
	return true;
}

static bool check_size(const char *text, size_t size)
{
	if (size < TEXT_SIZE)
		return false;
	if (!memcmp(text, "00", VERSION_SIZE))
		return size == TEXT_SIZE;
	return size == TEXT_SIZE || text[TEXT_SIZE] == '-';
}

bool bb_traceparent_parse(const char *text, size_t size,
			  struct bb_trace_context *c)
{
	struct bb_trace_context parsed = { 0 };
	uint8_t version, flags;

	if (!text || !check_size(text, size))
		return false;
	if (text[TRACE_ID_OFFSET - 1] != '-' ||
	    text[SPAN_ID_OFFSET - 1] != '-' || text[FLAGS_OFFSET - 1] != '-')
		return false;
	if (!parse_hex(text, &version, 1) || version == 0xff ||
	    !parse_hex(text + TRACE_ID_OFFSET, parsed.trace_id,
		       BB_TRACE_ID_SIZE) ||
	    !parse_hex(text + SPAN_ID_OFFSET, parsed.span_id,
		       BB_SPAN_ID_SIZE) ||
	    !parse_hex(text + FLAGS_OFFSET, &flags, 1))
		return false;
	if (is_zero(parsed.trace_id, BB_TRACE_ID_SIZE) ||
	    is_zero(parsed.span_id, BB_SPAN_ID_SIZE))
		return false;
	parsed.sampled = flags & FLAG_SAMPLED;
	*c = parsed;
	return true;
}

void bb_traceparent_format(const struct bb_trace_context *c, char *text)
{
	uint8_t flags = c->sampled ? FLAG_SAMPLED : 0;

	memcpy(text, "00-", TRACE_ID_OFFSET);
	text = format_hex(text + TRACE_ID_OFFSET, c->trace_id,
			  BB_TRACE_ID_SIZE);
	*text++ = '-';
	text = format_hex(text, c->span_id, BB_SPAN_ID_SIZE);
	*text++ = '-';
	text = format_hex(text, &flags, 1);
	*text = '\0';
}
