#pragma once

#include <cstdint>
#include <string>

#include <cpprest/json.h>

#include "base/result_type.h"

namespace poplarfork::standin {

// Parses a JSON object; an empty `text` gives an empty object. Error:
// kMalformed when `text` is not a JSON object.
base::Result<web::json::value> ParseJsonObject(const std::string& text);

// Returns the member `name`, or null when it is absent or `object` is not an
// object.
web::json::value JsonMember(const web::json::value& object,
                            const std::string& name);

// Returns a string member, or `default_value` when it is absent or of another
// type.
std::string StringMember(const web::json::value& object,
                         const std::string& name,
                         const std::string& default_value);

// Returns a number member, or `default_value` when it is absent or not a
// number. A string with a number is accepted too, because etcd's JSON gateway
// writes 64-bit numbers as strings.
double DoubleMember(const web::json::value& object,
                    const std::string& name,
                    double default_value);

// Returns an unsigned 64-bit member, which may be a number or a string of
// digits, or `default_value` when it is absent or neither of them.
std::uint64_t Uint64Member(const web::json::value& object,
                           const std::string& name,
                           std::uint64_t default_value);

// Returns a number as a JSON string, as etcd's JSON gateway writes 64-bit
// numbers.
web::json::value Uint64ToJson(std::uint64_t number);

// Encode and decode base64. `DecodeBase64` throws no exception; for malformed
// text it returns kMalformed.
std::string EncodeBase64(const std::string& bytes);
base::Result<std::string> DecodeBase64(const std::string& text);

}  // namespace poplarfork::standin
