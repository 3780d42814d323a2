/*
 * Structure check of received bytes before msgpack-c parses them.
 *
 * msgpack-c allocates an array as soon as it reads the array's length, so that
 * five bytes could make it allocate 100 GB. The scan accepts only one complete
 * value of the types that the protocol uses, and only arrays whose elements fit
 * into the remaining bytes.
 */
#ifndef BB_WIRE_SCAN_H
#define BB_WIRE_SCAN_H

#include <stdbool.h>
#include <stddef.h>

/**
 * bb_wire_scan() - check the structure of a received message.
 * @data: received bytes
 * @size: number of bytes
 *
 * Return: true if the bytes are exactly one value, made of integers, booleans,
 * bins and arrays within the limits for nesting and list length.
 */
bool bb_wire_scan(const char *data, size_t size);

#endif
