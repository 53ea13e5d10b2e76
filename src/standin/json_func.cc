#include "standin/json_func.h"

#include <charconv>
#include <exception>

#include <cpprest/asyncrt_utils.h>

#include "base/error_func.h"

namespace poplarfork::standin {

namespace {

base::Error MakeMalformedError(const std::string& detail) {
  return base::MakeError(base::ErrorCode::kMalformed, base::Step::kStoreCall,
                         "", detail);
}

template <class Number>
Number ParseNumber(const std::string& text, Number default_value) {
  Number number{};
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return default_value;
  return number;
}

}  // namespace

base::Result<web::json::value> ParseJsonObject(const std::string& text) {
  if (text.empty())
    return web::json::value::object();
  std::error_code error;
  web::json::value value = web::json::value::parse(text, error);
  if (error || !value.is_object())
    return MakeMalformedError("expected a JSON object");
  return value;
}

web::json::value JsonMember(const web::json::value& object,
                            const std::string& name) {
  if (!object.is_object() || !object.has_field(name))
    return web::json::value::null();
  return object.at(name);
}

std::string StringMember(const web::json::value& object,
                         const std::string& name,
                         const std::string& default_value) {
  const web::json::value member = JsonMember(object, name);
  return member.is_string() ? member.as_string() : default_value;
}

double DoubleMember(const web::json::value& object,
                    const std::string& name,
                    double default_value) {
  const web::json::value member = JsonMember(object, name);
  if (member.is_number())
    return member.as_double();
  return member.is_string() ? ParseNumber(member.as_string(), default_value)
                            : default_value;
}

std::uint64_t Uint64Member(const web::json::value& object,
                           const std::string& name,
                           std::uint64_t default_value) {
  const web::json::value member = JsonMember(object, name);
  if (member.is_number())
    return member.as_number().to_uint64();
  return member.is_string() ? ParseNumber(member.as_string(), default_value)
                            : default_value;
}

web::json::value Uint64ToJson(std::uint64_t number) {
  return web::json::value::string(std::to_string(number));
}

std::string EncodeBase64(const std::string& bytes) {
  return utility::conversions::to_base64({bytes.begin(), bytes.end()});
}

base::Result<std::string> DecodeBase64(const std::string& text) {
  try {
    const auto bytes = utility::conversions::from_base64(text);
    return std::string(bytes.begin(), bytes.end());
  } catch (const std::exception& error) {
    return MakeMalformedError(std::string("invalid base64: ") + error.what());
  }
}

}  // namespace poplarfork::standin
