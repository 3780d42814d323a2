#include "libwire/wire_scan.h"

#include <stdint.h>

#include "libwire/wire_layout.h"

/**
 * struct scan - position of a scan.
 * @p: next byte
 * @left: number of bytes that remain
 */
struct scan {
	const unsigned char *p;
	size_t left;
};

/* Reads a big-endian number of @width bytes; false if it is truncated. */
static bool scan_number(struct scan *s, size_t width, uint32_t *value)
{
	if (s->left < width)
		return false;
	*value = 0;
	for (size_t i = 0; i < width; i++)
		*value = *value << 8 | s->p[i];
	s->p += width;
	s->left -= width;
	return true;
}

/* Skips @nr bytes; false if there are fewer. */
static bool scan_skip(struct scan *s, uint32_t nr)
{
	if (s->left < nr)
		return false;
	s->p += nr;
	s->left -= nr;
	return true;
}

/*
 * Reads one value, or the head of an array, whose length is then in @items. An
 * array needs at least one byte for each of its elements.
 */
static bool scan_value(struct scan *s, bool *is_array, uint32_t *items)
{
	uint32_t tag, n;

	*is_array = false;
	if (!scan_number(s, 1, &tag))
		return false;
	if (tag <= 0x7f || tag >= 0xe0) /* positive and negative fixint */
		return true;
	if ((tag & 0xf0) == 0x90 || tag == 0xdc || tag == 0xdd) {
		*is_array = true;
		if ((tag & 0xf0) == 0x90)
			*items = tag & 0x0f;
		else if (!scan_number(s, tag == 0xdc ? 2 : 4, items))
			return false;
		return *items <= BB_LIST_MAX && *items <= s->left;
	}
	if (tag == 0xc2 || tag == 0xc3) /* booleans */
		return true;
	if (tag >= 0xc4 && tag <= 0xc6) /* bin 8, 16, 32 */
		return scan_number(s, (size_t)1 << (tag - 0xc4), &n) &&
		       scan_skip(s, n);
	if (tag >= 0xcc && tag <= 0xcf) /* uint 8, 16, 32, 64 */
		return scan_skip(s, 1u << (tag - 0xcc));
	if (tag >= 0xd0 && tag <= 0xd3) /* int 8, 16, 32, 64 */
		return scan_skip(s, 1u << (tag - 0xd0));
	return false;
}

bool bb_wire_scan(const char *data, size_t size)
{
	struct scan s = { (const unsigned char *)data, size };
	/* Number of values still to read at each depth of nesting. */
	uint32_t left[BB_WIRE_DEPTH_MAX + 1] = { 1 };
	uint32_t items = 0;
	size_t depth = 0;
	bool is_array;

	while (depth || left[0]) {
		if (!left[depth]) {
			depth--;
			continue;
		}
		left[depth]--;
		if (!scan_value(&s, &is_array, &items))
			return false;
		if (!is_array)
			continue;
		if (depth == BB_WIRE_DEPTH_MAX)
			return false;
		left[++depth] = items;
	}
	return !s.left;
}
